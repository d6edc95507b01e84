//! Takes the leader's orders.

use std::rc::Weak;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;

use super::Runner;
use crate::message::{RunnerReply, RunnerRequest};

/// Serves the connection to the leader.
pub(super) struct RunnerService {
    runner: Weak<Runner>,
}

impl RunnerService {
    pub(super) fn new(runner: Weak<Runner>) -> Self {
        Self { runner }
    }

    fn take_order(&self, peer: Peer, frame: &Bytes) -> Result<Bytes, ServiceError> {
        if peer.role != Role::Keeper {
            return Err(ServiceError::Forbidden);
        }
        let RunnerRequest(order) = decode(frame)?;
        let runner = self.runner.upgrade().ok_or(ServiceError::Closing)?;
        let now = runner.clock.now();
        let (calls, refused) = runner.runs.borrow_mut().take_order(now, order);
        runner.make_calls(calls);
        Ok(encode(&RunnerReply(refused))?)
    }
}

impl Service for RunnerService {
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        std::future::ready(self.take_order(peer, &frame)).boxed_local()
    }
}
