//! The endpoint instance that a gate guards, and the chart of its life.

use std::net::SocketAddr;

use derive_more::Display;
use hemlock_chart::prelude::*;
use hemlock_types::prelude::*;

/// The chart's file.
const CHART: &str = include_str!("../charts/endpoint.yaml");

/// What an endpoint instance offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The service.
    pub service: ServiceName,
    /// How many tasks it runs at once.
    pub slots: u16,
    /// How many connections it takes at once.
    pub connections: u16,
    /// Where it takes them.
    pub address: SocketAddr,
}

impl Offer {
    /// How many tasks may run at once: a task needs a slot and a connection.
    pub fn capacity(&self) -> u16 {
        self.slots.min(self.connections)
    }
}

/// Where an endpoint instance is in its life; see `charts/endpoint.yaml`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum EndpointPhase {
    /// No endpoint is announced.
    #[display("absent")]
    Absent,
    /// New work starts.
    #[display("serving")]
    Serving,
    /// It does not take connections.
    #[display("suspect")]
    Suspect,
    /// A planned stop covers it and may be lifted.
    #[display("draining")]
    Draining,
    /// The agent ends.
    #[display("stopping")]
    Stopping,
    /// The last task has ended.
    #[display("gone")]
    Gone,
}

impl EndpointPhase {
    /// Whether new work is refused because of a planned stop.
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

/// What happens to an endpoint instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointEvent {
    /// It is announced, for the first time or again.
    Announce,
    /// It is withdrawn.
    Withdraw,
    /// It refused a connection.
    Unreachable,
    /// It took a connection.
    Reached,
    /// A planned stop covers it.
    Drain,
    /// The planned stop is over or was withdrawn.
    Lift,
    /// The agent is to end.
    Stop,
    /// The last task has ended.
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

/// Reads the chart of an endpoint's life.
///
/// # Errors
/// Any fault of the chart's file.
pub(crate) fn endpoint_chart() -> Result<Chart<EndpointPhase, EndpointEvent>, ChartError> {
    Chart::parse(CHART)
}
