//! Which instance gets a task.
//!
//! Answers two load patterns. With room to spare, a task goes where it ends soonest: to the
//! instance whose runs take least against what is expected. Near saturation, tasks of about a tenth
//! of an instance leave holes that no task fits into, so among instances of about the same pace the
//! one that is fullest after the placement is taken, which keeps the others' room in one piece.
//! Where others place work too, what is left is known a little late only; the emptiest instance is
//! then the one where it is least likely to have been taken meanwhile.

use hemlock_jobs::prelude::{AgentId, Resources};
use hemlock_types::time::Instant;

use crate::instance::Agent;
use crate::settings::CapacityView;

/// Instances whose paces differ by less than this share count as equally fast.
const PACE_STEP: f64 = 0.25;

/// What a task asks of its instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish<'a> {
    pub(crate) service: &'a str,
    pub(crate) needs: Resources,
    pub(crate) required_label: Option<&'a str>,
    pub(crate) preferred_rack: Option<&'a str>,
    /// The agent whose instance let the task down before.
    pub(crate) avoid: Option<AgentId>,
}

/// How good a place is; the least is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    avoided: bool,
    other_rack: bool,
    pace_steps: u64,
    /// What is left, or its complement where the emptiest is wanted.
    left_cpu_milli: u64,
    agent: AgentId,
}

/// The best of the agents for which `allowed` holds.
pub(crate) fn choose<'a>(
    now: Instant,
    wish: &Wish<'_>,
    view: CapacityView,
    agents: impl Iterator<Item = (AgentId, &'a Agent)>,
    allowed: impl Fn(AgentId, &Agent) -> bool,
) -> Option<AgentId> {
    agents
        .filter(|(_, agent)| agent.takes_work() && agent.free().fits(&wish.needs))
        .filter(|(_, agent)| agent.health.admits(now, agent.runs.len()))
        .filter_map(|(id, agent)| Some((cost(id, agent, wish, view)?, id, agent)))
        .filter(|(_, id, agent)| allowed(*id, agent))
        .min_by_key(|(cost, _, _)| *cost)
        .map(|(_, id, _)| id)
}

/// What it costs to place the task there; `None` where it may not run.
fn cost(id: AgentId, agent: &Agent, wish: &Wish<'_>, view: CapacityView) -> Option<Cost> {
    let instance = agent.instance.as_ref()?;
    let has = |label: &str| instance.labels.iter().any(|own| own == label);
    let belongs = instance.service == wish.service && wish.required_label.is_none_or(has);
    let left_cpu_milli = agent.free().minus(&wish.needs).cpu_milli;
    belongs.then(|| Cost {
        avoided: wish.avoid == Some(id),
        other_rack: !wish.preferred_rack.is_none_or(has),
        pace_steps: (agent.health.pace() / PACE_STEP) as u64,
        left_cpu_milli: match view {
            CapacityView::Own => left_cpu_milli,
            CapacityView::Shared => u64::MAX - left_cpu_milli,
        },
        agent: id,
    })
}
