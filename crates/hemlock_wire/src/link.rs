//! Request and reply calls over an open connection.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;

use capnp::capability::Promise;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use crate::error::{CallError, ServiceError};
use crate::frame::{checksum, decode, encode, verify};
use crate::identity::Peer;
use crate::link_capnp::link;
use crate::service::Service;

/// Tells whether a connection is closed. Shared by all links of the connection.
#[derive(Default)]
pub(crate) struct ConnectionState {
    closed: Cell<bool>,
    closed_notify: Notify,
}

impl ConnectionState {
    /// Marks the connection as closed and wakes all waiting tasks.
    pub(crate) fn mark_closed(&self) {
        self.closed.set(true);
        self.closed_notify.notify_waiters();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Waits until the connection is closed.
    pub(crate) async fn until_closed(&self) {
        while !self.is_closed() {
            self.closed_notify.notified().await;
        }
    }
}

/// Sends requests to the peer of one connection. Clones share the connection.
#[derive(Clone)]
pub struct Link {
    client: link::Client,
    state: Rc<ConnectionState>,
}

impl Link {
    pub(crate) fn new(client: link::Client, state: Rc<ConnectionState>) -> Self {
        Self { client, state }
    }

    /// Sends a request and waits for the reply, without a time limit.
    ///
    /// Dropping the future discards the reply; it does not recall the request.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if there is no valid reply. Only [`CallError::NeverSent`] proves
    /// that the peer has not received the request.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        request: &Q,
    ) -> Result<A, CallError> {
        if self.state.is_closed() {
            return Err(CallError::NeverSent);
        }
        let frame = encode(request)?;
        let mut call = self.client.exchange_request();
        let mut params = call.get();
        params.set_checksum(checksum(&frame));
        params.set_frame(&frame);
        let response = call.send().promise.await.map_err(call_error)?;
        let results = response.get().map_err(call_error)?;
        let received = results.get_frame().map_err(call_error)?;
        let answer = verify(received, results.get_checksum())?;
        Ok(decode(&answer)?)
    }

    /// Returns whether both links belong to the same connection.
    pub fn is_same_connection(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.state, &other.state)
    }

    /// Returns whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.state.is_closed()
    }

    /// Waits until the connection is closed.
    pub async fn until_closed(&self) {
        self.state.until_closed().await;
    }
}

fn call_error(error: capnp::Error) -> CallError {
    match error.kind {
        capnp::ErrorKind::Disconnected => CallError::Lost,
        _ => CallError::Refused(error.extra),
    }
}

/// Passes the peer's requests to the [`Service`] of this process.
pub(crate) struct LinkServer {
    /// The peer; set once it has proved that it holds the cluster key.
    pub(crate) peer: Rc<OnceCell<Peer>>,
    pub(crate) service: Rc<dyn Service>,
}

impl link::Server for LinkServer {
    fn exchange(
        self: Rc<Self>,
        params: link::ExchangeParams,
        mut results: link::ExchangeResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let started = self.start_answer(&params);
        Promise::from_future(async move {
            let frame = started?.await.map_err(service_error)?;
            let mut answer = results.get();
            answer.set_checksum(checksum(&frame));
            answer.set_frame(&frame);
            Ok(())
        })
    }
}

type AnswerFuture = futures::future::LocalBoxFuture<'static, Result<bytes::Bytes, ServiceError>>;

impl LinkServer {
    /// Passes the request to the service before the first await, so that requests keep their
    /// order.
    fn start_answer(&self, params: &link::ExchangeParams) -> Result<AnswerFuture, capnp::Error> {
        let Some(peer) = self.peer.get() else {
            return Err(capnp::Error::failed(
                "the handshake is not complete".to_owned(),
            ));
        };
        let params = params.get()?;
        let frame = verify(params.get_frame()?, params.get_checksum())
            .map_err(|error| service_error(error.into()))?;
        Ok(self.service.answer(*peer, frame))
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function in map_err"
)]
fn service_error(error: ServiceError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
