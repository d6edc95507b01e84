//! Log lines of the owners of runs, and of runners about the owners: what is ordered, and which runs
//! are taken for over.

use std::fmt::{self, Display, Formatter};

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::OwnershipChange;
use hemlock_types::time::DurationMs;
use tracing::{info, warn};

/// Writes runs as `task/run`, separated by spaces. Nothing is formatted for a disabled log line.
pub(crate) struct RunList<I>(pub(crate) I);

impl<I: Iterator<Item = (TaskKey, RunNumber)> + Clone> Display for RunList<I> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (position, (task, run)) in self.0.clone().enumerate() {
            let separator = if position == 0 { "" } else { " " };
            write!(formatter, "{separator}{task}/{run}")?;
        }
        Ok(())
    }
}

/// Writes the ended ones of some runs as `task/run=end`, separated by spaces.
struct EndList<'a>(&'a [RunReport]);

impl Display for EndList<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for report in self.0 {
            if let Some(end) = report.end {
                write!(formatter, "{separator}{}/{}={end}", report.task, report.run)?;
                separator = " ";
            }
        }
        Ok(())
    }
}

/// Logs an order that is sent to its runner.
pub(crate) fn log_order(order: &Order) {
    info!(
        event = "order-sent",
        agent = order.agent.0,
        session = order.session.0,
        sequence = order.sequence,
        instance = order.instance.as_ref().map(tracing::field::display),
        starts = %RunList(order.starts.iter().map(|start| (start.task, start.run))),
        stops = %RunList(order.stops.iter().map(|stop| (stop.task, stop.run))),
    );
}

/// Logs the runs that were answered as over when a session began.
pub(crate) fn log_claimed_ends(agent: AgentId, session: SessionId, runs: &[RunReport]) {
    if runs.iter().any(|report| report.end.is_some()) {
        info!(event = "runs-over-in-claim", agent = agent.0, session = session.0,
              runs = %EndList(runs));
    }
}

/// Logs the runs that are taken for lost because their agents were silent for too long.
pub(crate) fn log_expired_agents(expired: Vec<ExpiredAgent>) {
    for ExpiredAgent {
        agent,
        unconfirmed,
        runs,
    } in expired
    {
        warn!(event = "runs-expired", agent = agent.0, unconfirmed_ms = unconfirmed.as_ms(),
              runs = %RunList(runs.iter().copied()));
    }
}

/// Logs which runs at the instance wait for their owners, or are stopped because they have none.
pub(crate) fn log_ownership_changes(changes: Vec<OwnershipChange>) {
    for change in changes {
        match change {
            OwnershipChange::Found(runs) => {
                info!(event = "runs-found", runs = %RunList(runs.iter().copied()));
            }
            OwnershipChange::Unknown(runs) => {
                warn!(event = "runs-unknown", runs = %RunList(runs.iter().copied()));
            }
            OwnershipChange::Unclaimed { waited, runs } => {
                warn!(event = "runs-unclaimed", waited_ms = waited.as_ms(),
                      runs = %RunList(runs.iter().copied()));
            }
            OwnershipChange::OwnerGone {
                owner,
                session,
                closed,
                silent,
                runs,
            } => {
                let cause = if closed.is_some() { "closed" } else { "silent" };
                info!(event = "owner-gone", owner = ?owner, session = session.0, cause,
                      closed_ms = closed.map(DurationMs::as_ms), silent_ms = silent.as_ms(),
                      runs = %RunList(runs.iter().copied()));
            }
        }
    }
}
