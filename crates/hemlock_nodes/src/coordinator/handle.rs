//! The thread-safe handle for operators' requests.

use bytes::Bytes;
use hemlock_jobs::prelude::Configuration;
use hemlock_quorum::prelude::KeeperId;
use tokio::sync::{mpsc, oneshot};

use super::input::Input;
use crate::message::{EvacuationAnswer, EvacuationChange, Reply};

/// The answer to a new configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigureAnswer {
    /// This configuration, or one of the same or a higher version, is in force.
    Done,
    /// The request had no effect because this keeper doesn't lead. Holds the leader, if known.
    NotLeader(Option<KeeperId>),
    /// The configuration may or may not come into force.
    Undecided,
}

/// The answer to a read of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadAnswer {
    /// The document as sent by the operator.
    Document(Bytes),
    /// No configuration is in force yet.
    Empty,
    /// This keeper doesn't lead. Holds the leader, if known.
    NotLeader(Option<KeeperId>),
}

/// Passes operators' requests to a coordinator from any thread.
#[derive(Clone)]
pub struct CoordinatorHandle {
    inputs: mpsc::UnboundedSender<Input>,
}

impl CoordinatorHandle {
    pub(super) fn new(inputs: mpsc::UnboundedSender<Input>) -> Self {
        Self { inputs }
    }

    pub(super) fn sender(&self) -> mpsc::UnboundedSender<Input> {
        self.inputs.clone()
    }

    /// Puts a validated configuration in force.
    pub async fn configure(&self, configuration: Configuration) -> ConfigureAnswer {
        let (sender, answer) = oneshot::channel();
        let input = Input::Configure(Box::new(configuration), sender);
        match self.inputs.send(input) {
            Ok(()) => answer.await.unwrap_or(ConfigureAnswer::Undecided),
            Err(_) => ConfigureAnswer::NotLeader(None),
        }
    }

    /// Changes the evacuated failure domains. The change is not proposed any more once the future is
    /// dropped.
    pub async fn change_evacuations(&self, change: EvacuationChange) -> EvacuationAnswer {
        let (sender, answer) = oneshot::channel();
        match self.inputs.send(Input::Evacuation(change, sender)) {
            Ok(()) => match answer.await {
                Ok(Reply::Evacuation(answer)) => answer,
                Ok(_) | Err(_) => EvacuationAnswer::Undecided,
            },
            Err(_) => EvacuationAnswer::NotLeader(None),
        }
    }

    /// Reads the configuration in force.
    pub async fn read_configuration(&self) -> ReadAnswer {
        let (sender, answer) = oneshot::channel();
        match self.inputs.send(Input::Read(sender)) {
            Ok(()) => answer.await.unwrap_or(ReadAnswer::NotLeader(None)),
            Err(_) => ReadAnswer::NotLeader(None),
        }
    }

    /// Starts a planned stop, which transfers leadership first.
    pub fn drain(&self) {
        // Sending fails only when the coordinator has already ended.
        let _ = self.inputs.send(Input::Drain);
    }
}
