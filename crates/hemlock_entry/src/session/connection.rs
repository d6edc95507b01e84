//! Connects to one keeper after another until one leads.

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

/// Time for opening a connection.
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Pause before another keeper is tried, in milliseconds.
const NEXT_KEEPER_MS: u64 = 50;

/// A keeper asks nothing of an entry.
struct NoCalls;

impl Service for NoCalls {
    fn answer(
        &self,
        _peer: Peer,
        _frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        Box::pin(std::future::ready(Err(ServiceError::Forbidden)))
    }
}

/// Keeps a connection to a keeper for as long as the session runs.
pub(super) async fn run_connections(shared: Rc<Shared>) {
    let claims = run_claims(Rc::clone(&shared));
    let ends = run_ends(Rc::clone(&shared));
    let connections = async {
        loop {
            connect_once(&shared).await;
            tokio::time::sleep(Duration::from_millis(NEXT_KEEPER_MS)).await;
        }
    };
    tokio::join!(claims, ends, connections);
}

async fn connect_once(shared: &Rc<Shared>) {
    let Some(address) = shared.keepers.borrow().front().copied() else {
        return;
    };
    let identity = Rc::clone(&shared.identity);
    let Ok(connection) = connect(address, identity, Rc::new(NoCalls), CONNECT_TIMEOUT).await else {
        shared.prefer(None);
        return;
    };
    if connection.peer.role != Role::Keeper {
        shared.prefer(None);
        return;
    }
    info!(event = "keeper-connected", keeper = connection.peer.id);
    shared.link.replace(Some(connection.link.clone()));
    tokio::select! {
        () = connection.until_closed() => shared.prefer(None),
        () = shared.change_keeper.notified() => {}
        () = run_sync(shared, connection.link.clone()) => {}
    }
    shared.link.replace(None);
    connection.close();
}
