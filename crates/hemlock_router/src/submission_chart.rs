//! The state chart of a submission, read from its file.

use std::sync::OnceLock;

use hemlock_chart::prelude::*;

/// Content of the chart's file.
const CHART: &str = include_str!("../charts/submission.yaml");

/// State of a submission; see `charts/submission.yaml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A claim was sent to the ledger and its answer is awaited.
    Claiming,
    /// Another entry runs it, or the claim got no answer; it is claimed again later.
    Waiting,
    /// The agents that an earlier owner may have used are fenced and asked which tasks started.
    Fencing,
    /// It has ended before, and its answers are fetched from the agents.
    Fetching,
    /// Its tasks may start under the epoch of its claim.
    Running,
    /// Its callers were answered.
    Ended,
}

impl Label for Phase {
    const ALL: &'static [Self] = &[
        Self::Claiming,
        Self::Waiting,
        Self::Fencing,
        Self::Fetching,
        Self::Running,
        Self::Ended,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Claiming => "claiming",
            Self::Waiting => "waiting",
            Self::Fencing => "fencing",
            Self::Fetching => "fetching",
            Self::Running => "running",
            Self::Ended => "ended",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// A transition of the state chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A claim is sent to the ledger.
    Ask,
    /// The claim is retried later.
    Postpone,
    /// The claim is granted and there is no earlier owner.
    Grant,
    /// The claim is granted and there is an earlier owner.
    TakeOver,
    /// The ledger reports that it has ended, with answers that only the agents hold.
    FoundEnded,
    /// Every agent of earlier owners has answered its fence.
    Fenced,
    /// Its callers are answered.
    End,
}

impl Label for Step {
    const ALL: &'static [Self] = &[
        Self::Ask,
        Self::Postpone,
        Self::Grant,
        Self::TakeOver,
        Self::FoundEnded,
        Self::Fenced,
        Self::End,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Ask => "ask",
            Self::Postpone => "postpone",
            Self::Grant => "grant",
            Self::TakeOver => "take-over",
            Self::FoundEnded => "found-ended",
            Self::Fenced => "fenced",
            Self::End => "end",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// The chart, parsed on first use. The program validates it at startup with [`check_chart`].
///
/// # Panics
///
/// When the chart's file is invalid.
pub(crate) fn chart() -> &'static Chart<Phase, Step> {
    static READ: OnceLock<Chart<Phase, Step>> = OnceLock::new();
    READ.get_or_init(|| match Chart::parse(CHART) {
        Ok(chart) => chart,
        Err(fault) => unreachable!("the submission chart is invalid: {fault}"),
    })
}

/// Validates the chart's file.
///
/// # Errors
///
/// When the chart is invalid.
pub fn check_chart() -> Result<(), ChartError> {
    Chart::<Phase, Step>::parse(CHART).map(|_| ())
}
