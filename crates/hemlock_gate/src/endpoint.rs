//! The endpoint instance behind a gate, and its state chart.

use std::net::SocketAddr;

use derive_more::Display;
use hemlock_chart::prelude::*;
use hemlock_types::prelude::*;

/// Source of the state chart.
const CHART: &str = include_str!("../charts/endpoint.yaml");

/// Announcement of an endpoint instance: its service, capacity and address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Service that the endpoint provides.
    pub service: ServiceName,
    /// Number of tasks that it can run at once.
    pub slots: u16,
    /// Number of connections that it accepts at once.
    pub connections: u16,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
}

impl Offer {
    /// Returns the number of tasks that may run at once. Each task needs a slot and a connection.
    pub fn capacity(&self) -> u16 {
        self.slots.min(self.connections)
    }
}

/// State of an endpoint instance; see `charts/endpoint.yaml`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum EndpointPhase {
    /// No endpoint is announced.
    #[display("absent")]
    Absent,
    /// The endpoint takes new work.
    #[display("serving")]
    Serving,
    /// The endpoint refused a connection; no new work starts until it accepts one.
    #[display("suspect")]
    Suspect,
    /// A planned stop covers the endpoint; no new work starts until the stop is lifted.
    #[display("draining")]
    Draining,
    /// The agent is stopping; no new work starts.
    #[display("stopping")]
    Stopping,
    /// The agent is stopping and its last task has ended.
    #[display("gone")]
    Gone,
}

impl EndpointPhase {
    /// Returns whether new work is refused because of a planned stop or the end of the agent.
    pub fn is_leaving(self) -> bool {
        matches!(self, Self::Draining | Self::Stopping | Self::Gone)
    }
}

impl Label for EndpointPhase {
    const ALL: &'static [Self] = &[
        Self::Absent,
        Self::Serving,
        Self::Suspect,
        Self::Draining,
        Self::Stopping,
        Self::Gone,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Absent => "absent",
            Self::Serving => "serving",
            Self::Suspect => "suspect",
            Self::Draining => "draining",
            Self::Stopping => "stopping",
            Self::Gone => "gone",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// Events of an endpoint instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointEvent {
    /// The endpoint is announced, for the first time or again.
    Announce,
    /// The announcement is withdrawn.
    Withdraw,
    /// The endpoint refused a connection.
    Unreachable,
    /// The endpoint accepted a connection.
    Reached,
    /// A planned stop covers the endpoint.
    Drain,
    /// No planned stop covers the endpoint any more.
    Lift,
    /// The agent begins to stop.
    Stop,
    /// No task is running any more.
    Drained,
}

impl Label for EndpointEvent {
    const ALL: &'static [Self] = &[
        Self::Announce,
        Self::Withdraw,
        Self::Unreachable,
        Self::Reached,
        Self::Drain,
        Self::Lift,
        Self::Stop,
        Self::Drained,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Announce => "announce",
            Self::Withdraw => "withdraw",
            Self::Unreachable => "unreachable",
            Self::Reached => "reached",
            Self::Drain => "drain",
            Self::Lift => "lift",
            Self::Stop => "stop",
            Self::Drained => "drained",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// Parses the state chart of an endpoint instance.
///
/// # Errors
/// Returns an error if the chart is invalid.
pub(crate) fn endpoint_chart() -> Result<Chart<EndpointPhase, EndpointEvent>, ChartError> {
    Chart::parse(CHART)
}
