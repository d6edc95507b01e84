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

use super::input::{Input, LaneOrder};
use super::peers::Peers;

/// What the lane needs.
pub(super) struct Lane {
    pub(super) listener: StdListener,
    pub(super) identity: Identity,
    pub(super) control: Sender<Input>,
    pub(super) orders: mpsc::UnboundedReceiver<LaneOrder>,
    pub(super) stop: watch::Receiver<bool>,
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
        let mut stop = self.stop;
        let mut stop_orders = stop.clone();
        let stopped = async move {
            // An error means that the handle is gone, which is a reason to stop as well.
            let _ = stop.wait_for(|stop| *stop).await;
        };
        let ordered = peers.follow(self.orders);
        let orders_stopped = async move {
            let _ = stop_orders.wait_for(|stop| *stop).await;
        };
        tokio::join!(serve(listener, identity, service, stopped), async move {
            tokio::select! {
                () = ordered => {}
                () = orders_stopped => {}
            }
        });
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
