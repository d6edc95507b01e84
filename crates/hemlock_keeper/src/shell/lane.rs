//! The lane thread: serves the wire address and talks to the other keepers.

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

use super::input::{Input, LaneOrder, LaneStop};
use super::peers::Peers;

/// Time for the last answers to leave.
const FLUSH_TIME: DurationMs = DurationMs::new(50);

/// What the lane needs.
pub(super) struct Lane {
    pub(super) listener: StdListener,
    pub(super) identity: Identity,
    pub(super) control: Sender<Input>,
    pub(super) orders: mpsc::UnboundedReceiver<LaneOrder>,
    pub(super) stop: watch::Receiver<LaneStop>,
}

impl Lane {
    /// Runs on the given runtime until told to stop.
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
            until_stopped(self.stop.clone()),
        );
        let talking = async {
            tokio::select! {
                () = peers.follow(self.orders) => {}
                () = until_stopped(self.stop) => {}
            }
        };
        tokio::join!(serving, talking);
    }
}

/// Returns once the lane is to end.
async fn until_stopped(mut stop: watch::Receiver<LaneStop>) {
    let asked = stop.wait_for(|stop| *stop != LaneStop::GoOn).await;
    // An error means that the handle is gone, which is a reason to end at once.
    let flush = asked.is_ok_and(|stop| *stop == LaneStop::Flush);
    if flush {
        tokio::time::sleep(FLUSH_TIME.as_std()).await;
    }
}

/// Hands requests of peers to the control thread.
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
            KeeperRequest::Quorum(_) | KeeperRequest::Operator { .. }
                if peer.role != Role::Keeper =>
            {
                std::future::ready(Err(ServiceError::Forbidden)).boxed_local()
            }
            KeeperRequest::Quorum(message) => {
                std::future::ready(self.take_message(peer, &message)).boxed_local()
            }
            request => self.ask(request),
        }
    }
}

impl KeeperService {
    fn take_message(&self, peer: Peer, message: &Bytes) -> Result<Bytes, ServiceError> {
        let message: Message = decode(message)?;
        let input = Input::Received(KeeperId(peer.id), message);
        self.control
            .send(input)
            .map_err(|_| ServiceError::Closing)?;
        Ok(encode(&KeeperReply::Done)?)
    }

    fn ask(&self, request: KeeperRequest) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let (sender, receiver) = oneshot::channel();
        let handed = self.control.send(Input::Request(request, sender));
        async move {
            handed.map_err(|_| ServiceError::Closing)?;
            let reply = receiver.await.map_err(|_| ServiceError::Closing)?;
            Ok(encode(&reply)?)
        }
        .boxed_local()
    }
}
