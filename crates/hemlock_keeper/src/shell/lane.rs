//! The lane: the network thread that serves the wire address and connects to the other keepers.

use std::net::TcpListener as StdListener;
use std::rc::Rc;

use bytes::Bytes;
use crossbeam::channel::Sender;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_quorum::prelude::{KeeperId, Message};
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

use super::input::{Input, LaneCommand, LaneShutdown};
use super::peers::Peers;

/// Delay before the lane ends, so that the last replies are still sent.
const FLUSH_DELAY: DurationMs = DurationMs::new(50);

/// Parameters of the lane thread.
pub(super) struct Lane {
    pub(super) listener: StdListener,
    pub(super) identity: Identity,
    pub(super) control: Sender<Input>,
    pub(super) commands: mpsc::UnboundedReceiver<LaneCommand>,
    pub(super) shutdown: watch::Receiver<LaneShutdown>,
}

impl Lane {
    /// Runs on the given runtime until shutdown is requested.
    pub(super) fn run(self, runtime: &tokio::runtime::Runtime) {
        let local = LocalSet::new();
        local.block_on(runtime, self.serve_all());
    }

    async fn serve_all(self) {
        let listener = TcpListener::from_std(self.listener).expect("the listener is non-blocking");
        let identity = Rc::new(self.identity);
        let control = self.control.clone();
        let service: Rc<dyn Service> = Rc::new(KeeperService { control });
        let peers = Peers::new(Rc::clone(&identity), Rc::clone(&service), self.control);
        let serving = serve(
            listener,
            identity,
            service,
            until_shutdown(self.shutdown.clone()),
        );
        let peers_running = async {
            tokio::select! {
                () = peers.run(self.commands) => {}
                () = until_shutdown(self.shutdown) => {}
            }
        };
        tokio::join!(serving, peers_running);
    }
}

/// Waits until the lane must end, including the delay of a flush.
async fn until_shutdown(mut shutdown: watch::Receiver<LaneShutdown>) {
    let requested = shutdown
        .wait_for(|state| *state != LaneShutdown::NotRequested)
        .await;
    // An error means that the handle was dropped, so the lane ends immediately.
    let flush = requested.is_ok_and(|state| *state == LaneShutdown::Flush);
    if flush {
        tokio::time::sleep(FLUSH_DELAY.as_std()).await;
    }
}

/// Wire service that passes the requests of peers to the control thread.
struct KeeperService {
    control: Sender<Input>,
}

impl Service for KeeperService {
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let request = match decode::<KeeperRequest>(&frame) {
            Ok(request) => request,
            Err(error) => return std::future::ready(Err(error.into())).boxed_local(),
        };
        match request {
            // Operators use the HTTP API.
            _ if peer.role == Role::Operator => {
                std::future::ready(Err(ServiceError::Forbidden)).boxed_local()
            }
            KeeperRequest::Quorum(_) | KeeperRequest::Operator { .. }
                if peer.role != Role::Keeper =>
            {
                std::future::ready(Err(ServiceError::Forbidden)).boxed_local()
            }
            KeeperRequest::Quorum(message) => {
                std::future::ready(self.receive_message(peer, &message)).boxed_local()
            }
            request => self.send_request(request),
        }
    }
}

impl KeeperService {
    fn receive_message(&self, peer: Peer, message: &Bytes) -> Result<Bytes, ServiceError> {
        let message: Message = decode(message)?;
        let input = Input::Received(KeeperId(peer.id), message);
        self.control
            .send(input)
            .map_err(|_| ServiceError::Closing)?;
        Ok(encode(&KeeperReply::Done)?)
    }

    fn send_request(
        &self,
        request: KeeperRequest,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.control.send(Input::Request(request, sender));
        async move {
            sent.map_err(|_| ServiceError::Closing)?;
            let reply = receiver.await.map_err(|_| ServiceError::Closing)?;
            Ok(encode(&reply)?)
        }
        .boxed_local()
    }
}
