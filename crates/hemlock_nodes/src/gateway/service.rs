//! Receives updates from runners.

use std::rc::Weak;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;

use super::Gateway;
use crate::message::RunnerUpdate;

/// Serves calls from runners. Other peers don't call a gateway.
pub(super) struct GatewayService {
    gateway: Weak<Gateway>,
}

impl GatewayService {
    pub(super) fn new(gateway: Weak<Gateway>) -> Self {
        Self { gateway }
    }

    fn handle(&self, peer: Peer, frame: &Bytes) -> Result<Bytes, ServiceError> {
        if peer.role != Role::Agent {
            return Err(ServiceError::Forbidden);
        }
        let update: RunnerUpdate = decode(frame)?;
        let gateway = self.gateway.upgrade().ok_or(ServiceError::Closing)?;
        let now = gateway.clock.now();
        gateway.engine.borrow_mut().handle_update(now, update);
        gateway.run_engine();
        Ok(encode(&())?)
    }
}

impl Service for GatewayService {
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        std::future::ready(self.handle(peer, &frame)).boxed_local()
    }
}
