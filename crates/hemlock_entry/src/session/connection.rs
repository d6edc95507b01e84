//! Connects to one keeper after another until it finds the leader.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tracing::info;

use super::batches::{run_claims, run_ends};
use super::client::Shared;
use super::sync::run_sync;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Pause before the next connection attempt, in milliseconds.
const RECONNECT_PAUSE_MS: u64 = 50;

/// Rejects every call on the connection: keepers send no requests to entries.
struct RejectCalls;

impl Service for RejectCalls {
    fn answer(
        &self,
        _peer: Peer,
        _frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        Box::pin(std::future::ready(Err(ServiceError::Forbidden)))
    }
}

/// Runs the tasks that need a keeper, and keeps a connection to one until the session ends.
pub(super) async fn run_connections(shared: Rc<Shared>) {
    let claims = run_claims(Rc::clone(&shared));
    let ends = run_ends(Rc::clone(&shared));
    let connections = async {
        loop {
            connect_and_sync(&shared).await;
            tokio::time::sleep(Duration::from_millis(RECONNECT_PAUSE_MS)).await;
        }
    };
    tokio::join!(claims, ends, connections);
}

async fn connect_and_sync(shared: &Rc<Shared>) {
    let Some(address) = shared.keepers.borrow().front().copied() else {
        return;
    };
    let identity = Rc::clone(&shared.identity);
    let Ok(connection) = connect(address, identity, Rc::new(RejectCalls), CONNECT_TIMEOUT).await
    else {
        shared.select_keeper(None);
        return;
    };
    if connection.peer.role != Role::Keeper {
        shared.select_keeper(None);
        return;
    }
    info!(event = "keeper-connected", keeper = connection.peer.id);
    shared.link.replace(Some(connection.link.clone()));
    tokio::select! {
        () = connection.until_closed() => shared.select_keeper(None),
        () = shared.change_keeper.notified() => {}
        () = run_sync(shared, connection.link.clone()) => {}
    }
    shared.link.replace(None);
    connection.close();
}
