//! Which instance gets a task.
//!
//! Answers two load patterns. With room to spare, a task goes where it ends soonest, by the wait
//! there, by how slow the instance is, and by how soon ends have come from there lately, which also
//! shows the work of others that isn't reported yet. Near saturation, tasks of about a tenth
//! of an instance leave holes that no task fits into, so among instances where it
//! ends at about the same time the one that is fullest after the placement is taken, which keeps the others' room in one piece.
//! Where others place work too, what is left is known a little late only, and all know the same: one
//! of the instances with room to spare is then drawn by chance. When all are full the task
//! waits where its turn comes first, so that the instances' queues order the work of all who place
//! some; a task whose turn would come too late stays here.

use std::hash::{DefaultHasher, Hash, Hasher};

use hemlock_jobs::prelude::{AgentId, Resources, TaskKey};
use hemlock_types::time::Instant;

use crate::instance::Agent;
use crate::settings::CapacityView;

/// Ends that differ by less than this count as equally early, in milliseconds.
const FINISH_STEP_MS: u64 = 8;
/// Tasks that must fit beside the one placed for an instance to count as roomy. Roomy instances are
/// told apart by chance: others see the same figures, and would all choose the emptiest.
const ROOMY_TASKS: u64 = 4;
/// Response times that differ by less than this share of what was expected count as equal.
const RESPONSE_STEP: f64 = 0.25;

/// What a task asks of its instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish<'a> {
    pub(crate) task: TaskKey,
    pub(crate) service: &'a str,
    pub(crate) needs: Resources,
    pub(crate) required_label: Option<&'a str>,
    pub(crate) preferred_rack: Option<&'a str>,
    /// The agent whose instance let the task down before.
    pub(crate) avoid: Option<AgentId>,
    /// How long the task should take, in milliseconds.
    pub(crate) expected_ms: u64,
    /// The level in which it would wait at an instance.
    pub(crate) level: usize,
    /// How long it may wait at an instance, in milliseconds.
    pub(crate) patience_ms: u64,
}

/// How good a place is; the least is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    avoided: bool,
    other_rack: bool,
    finish_steps: u64,
    response_steps: u64,
    /// What is left, or how far the instance is from being roomy where others place work too.
    crowding: u64,
    /// A number that differs for each task.
    chance: u64,
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
        .filter(|(_, agent)| agent.takes_work() && may_go_there(agent, wish, view))
        .filter(|(_, agent)| agent.health.admits(now, agent.runs.len()))
        .filter_map(|(id, agent)| Some((cost(id, agent, wish, view)?, id, agent)))
        .filter(|(_, id, agent)| allowed(*id, agent))
        .min_by_key(|(cost, _, _)| *cost)
        .map(|(_, id, _)| id)
}

/// Whether there is room now, or soon enough where starts wait at the instances.
fn may_go_there(agent: &Agent, wish: &Wish<'_>, view: CapacityView) -> bool {
    let fits_at_all = || {
        let capacity = agent.instance.as_ref().map(|instance| instance.capacity);
        capacity.is_some_and(|capacity| capacity.fits(&wish.needs))
    };
    match view {
        CapacityView::Own => agent.free().fits(&wish.needs),
        CapacityView::Shared => {
            let wait_ms = agent.expected_wait_ms(&wish.needs, wish.level);
            agent.room.is_some() && fits_at_all() && wait_ms <= wish.patience_ms
        }
    }
}

/// A number that differs for each task and agent, and is the same whenever it is asked for.
fn chance(task: TaskKey, agent: AgentId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (task, agent).hash(&mut hasher);
    hasher.finish()
}

/// When the task would end there, in steps that are told apart.
fn finish_steps(agent: &Agent, wish: &Wish<'_>) -> u64 {
    let wait_ms = agent.expected_wait_ms(&wish.needs, wish.level);
    let work_ms = (wish.expected_ms as f64 * agent.health.pace()) as u64;
    (wait_ms + work_ms) / FINISH_STEP_MS
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
        finish_steps: finish_steps(agent, wish),
        response_steps: (agent.health.response() / RESPONSE_STEP) as u64,
        crowding: match view {
            CapacityView::Own => left_cpu_milli,
            CapacityView::Shared => {
                let tasks = left_cpu_milli / wish.needs.cpu_milli.max(1);
                ROOMY_TASKS - tasks.min(ROOMY_TASKS)
            }
        },
        chance: match view {
            CapacityView::Own => 0,
            CapacityView::Shared => chance(wish.task, id),
        },
        agent: id,
    })
}
