//! What operators' requests are handed to.

use bytes::Bytes;
use hemlock_jobs::prelude::Configuration;
use hemlock_quorum::prelude::KeeperId;
use tokio::sync::{mpsc, oneshot};

use super::input::Input;

/// The answer to a new configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigureAnswer {
    /// It is in force, or one of the same or a higher version is.
    Done,
    /// Nothing was done: another keeper leads, if one is known.
    NotLeader(Option<KeeperId>),
    /// It isn't known whether it will be in force.
    Undecided,
}

/// The answer to a question for the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadAnswer {
    /// The document as its operator sent it.
    Document(Bytes),
    /// No configuration is in force yet.
    Empty,
    /// Another keeper leads, if one is known.
    NotLeader(Option<KeeperId>),
}

/// Hands operators' requests to a coordinator, from any thread.
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

    /// Puts a checked configuration in force.
    pub async fn configure(&self, configuration: Configuration) -> ConfigureAnswer {
        let (sender, answer) = oneshot::channel();
        let input = Input::Configure(Box::new(configuration), sender);
        match self.inputs.send(input) {
            Ok(()) => answer.await.unwrap_or(ConfigureAnswer::Undecided),
            Err(_) => ConfigureAnswer::NotLeader(None),
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

    /// Begins a planned stop: leadership is handed over first.
    pub fn drain(&self) {
        // A coordinator that has ended needs no stop.
        let _ = self.inputs.send(Input::Drain);
    }
}
