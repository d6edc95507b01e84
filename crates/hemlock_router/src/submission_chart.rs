//! The chart of a submission's life, read from its file.

use std::sync::OnceLock;

use hemlock_chart::prelude::*;

/// The chart's file.
const CHART: &str = include_str!("../charts/submission.yaml");

/// Where a submission stands; see `charts/submission.yaml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The ledger is asked for it.
    Claiming,
    /// Another entry runs it, or the ledger couldn't be asked; it is asked again later.
    Waiting,
    /// An earlier owner's agents are fenced and asked what has started.
    Fencing,
    /// The answers of a finished submission are fetched from the agents.
    Fetching,
    /// Its tasks may start under its epoch.
    Running,
    /// Its callers have their answer.
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

/// What happens to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The ledger is asked.
    Ask,
    /// The ledger is to be asked again later.
    Postpone,
    /// The claim is granted, and nobody had it before.
    Grant,
    /// The claim is granted over an earlier owner's.
    TakeOver,
    /// It has ended before, with answers that the agents hold.
    FoundEnded,
    /// Every agent of earlier owners has answered.
    Fenced,
    /// Its callers get their answer.
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

/// The chart, read once. The program checks it at its start by [`check_chart`].
///
/// # Panics
///
/// When the chart's file is faulty.
pub(crate) fn chart() -> &'static Chart<Phase, Step> {
    static READ: OnceLock<Chart<Phase, Step>> = OnceLock::new();
    READ.get_or_init(|| match Chart::parse(CHART) {
        Ok(chart) => chart,
        Err(fault) => unreachable!("the submission chart is faulty: {fault}"),
    })
}

/// Checks the chart's file.
///
/// # Errors
///
/// What is wrong with it.
pub fn check_chart() -> Result<(), ChartError> {
    Chart::<Phase, Step>::parse(CHART).map(|_| ())
}
