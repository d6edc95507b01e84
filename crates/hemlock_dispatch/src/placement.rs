//! The choice of an instance for a task.
//!
//! While capacity is free, a task goes where it is expected to end first. The expectation covers
//! the wait, the pace and the slowdown of the instance, the distance from the rack that the task
//! prefers, and the instance's recent response times, which also reflect work of other dispatchers
//! that is not reported yet. If the effect of the distance is unknown, a preferred rack goes first.
//!
//! Load patterns addressed: instances of uneven speed, and hot keys that prefer one rack. Fast
//! instances and racks in demand may become scarce. A task that ends in time with a margin at an
//! idle instance that is not scarce then goes there, and leaves the scarce ones to tasks that need
//! them.
//!
//! Near saturation, tasks that take about a tenth of an instance leave gaps too small for another
//! task. Among instances where the task ends at about the same time, the one with the least
//! capacity left is therefore chosen (best fit), so that the free capacity of the others stays in
//! one piece.
//!
//! If other dispatchers place work too, load reports are slightly outdated and the same for all.
//! One of the instances with ample capacity is then chosen pseudo-randomly. If all are full, the
//! task is queued at the instance with the shortest wait, so that the instance's queue orders the
//! work of all dispatchers. A task that would wait there too long stays at the dispatcher.

use std::hash::{DefaultHasher, Hash, Hasher};

use hemlock_jobs::prelude::{AgentId, Resources, TaskKey};
use hemlock_types::time::Instant;

use crate::instance::Agent;
use crate::settings::CapacitySource;

/// Granularity at which expected end times are compared, in milliseconds.
const FINISH_BUCKET_MS: u64 = 8;
/// Number of further tasks that must fit beside the placed one for an instance to have ample
/// capacity. Ties between such instances are broken pseudo-randomly: other dispatchers see the same
/// load reports, and all of them would choose the emptiest instance.
const AMPLE_TASKS: u64 = 4;
/// Granularity at which response ratios are compared.
const RESPONSE_RATIO_BUCKET: f64 = 0.25;
/// Share of a task's slack that a slow instance may take for the task to have a margin. The rest
/// covers errors of the declared duration and the spread of the tasks of one job.
const MARGIN_SLACK_SHARE: f64 = 0.6;

/// A task to be placed, with its requirements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) task: TaskKey,
    pub(crate) service: &'a str,
    pub(crate) needs: Resources,
    pub(crate) required_label: Option<&'a str>,
    pub(crate) preferred_rack: Option<&'a str>,
    /// The agent whose instance last failed the task, which is chosen only if no other one is
    /// suitable.
    pub(crate) avoid_agent: Option<AgentId>,
    /// Expected duration of the task, in milliseconds.
    pub(crate) expected_ms: u64,
    /// Ratio of the task's duration on another rack than the preferred one; 1 if unknown.
    pub(crate) remote_factor: f64,
    /// Whether some instances are scarce.
    pub(crate) steers: bool,
    /// The urgency level in which the task would wait at an instance.
    pub(crate) level: usize,
    /// Longest acceptable wait at an instance, in milliseconds.
    pub(crate) max_wait_ms: u64,
}

/// Cost of placing a task at an instance, compared field by field in the order of declaration. The
/// instance with the lowest cost is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    avoided: bool,
    /// Whether the task prefers another rack, if the effect of the distance is unknown.
    other_rack: bool,
    /// Whether the task has no margin here, if some instances are scarce.
    without_margin: bool,
    /// Scarcity of the instance, for tasks with a margin.
    scarcity: u8,
    /// Expected time until the task ends, in units of [`FINISH_BUCKET_MS`].
    finish_bucket: u64,
    response_bucket: u64,
    /// Free CPU after the placement, or, if other dispatchers place work too, the number of tasks
    /// by which the instance falls short of ample capacity.
    packing_cost: u64,
    /// A pseudo-random number that differs for each task and agent.
    tie_breaker: u64,
    agent: AgentId,
}

/// Chooses the agent with the lowest cost among those that can run the task and satisfy `allowed`.
pub(crate) fn choose<'a>(
    now: Instant,
    request: &PlacementRequest<'_>,
    source: CapacitySource,
    agents: impl Iterator<Item = (AgentId, &'a Agent)>,
    allowed: impl Fn(AgentId, &Agent) -> bool,
) -> Option<AgentId> {
    agents
        .filter(|(_, agent)| agent.accepts_work() && can_place(now, agent, request, source))
        .filter(|(_, agent)| agent.health.admits(now, agent.runs.len()))
        .filter_map(|(id, agent)| Some((cost(now, id, agent, request, source)?, id, agent)))
        .filter(|(_, id, agent)| allowed(*id, agent))
        .min_by_key(|(cost, _, _)| *cost)
        .map(|(_, id, _)| id)
}

/// Whether the task fits now or, if starts may be queued at the instances, soon enough.
fn can_place(
    now: Instant,
    agent: &Agent,
    request: &PlacementRequest<'_>,
    source: CapacitySource,
) -> bool {
    let fits_when_idle = || {
        let capacity = agent.instance.as_ref().map(|instance| instance.capacity);
        capacity.is_some_and(|capacity| capacity.fits(&request.needs))
    };
    if !agent.admits_while_cold(&request.needs) {
        return false;
    }
    match source {
        // The capacity may have shrunk below what runs there.
        CapacitySource::Local if !agent.is_within_capacity() => false,
        // A cold instance that was not ruled out above has a place for the task.
        CapacitySource::Local if agent.withheld_percent > 0 => fits_when_idle(),
        CapacitySource::Local => agent.free().fits(&request.needs),
        CapacitySource::Reported => {
            let wait_ms = agent.expected_wait_ms(now, &request.needs, request.level);
            agent.load.is_some() && fits_when_idle() && wait_ms <= request.max_wait_ms
        }
    }
}

/// A pseudo-random number that is fixed for each pair of task and agent.
fn tie_breaker(task: TaskKey, agent: AgentId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (task, agent).hash(&mut hasher);
    hasher.finish()
}

/// Expected duration of the task at the instance, in milliseconds.
fn work_ms(agent: &Agent, request: &PlacementRequest<'_>, is_remote: bool) -> u64 {
    let slowdown = agent.health.slowdown();
    let pace = match slowdown > 1.0 {
        true => slowdown.max(agent.pace),
        false => agent.pace,
    };
    let distance = if is_remote {
        request.remote_factor
    } else {
        1.0
    };
    (request.expected_ms as f64 * pace * distance) as u64
}

/// Whether the task starts at once and ends in time with a margin.
fn has_margin(request: &PlacementRequest<'_>, wait_ms: u64, work_ms: u64) -> bool {
    let delay_ms = work_ms.saturating_sub(request.expected_ms) as f64;
    wait_ms == 0 && delay_ms <= request.max_wait_ms as f64 * MARGIN_SLACK_SHARE
}

/// How much the instance should be left to other tasks than the requested one.
fn scarcity(agent: &Agent, request: &PlacementRequest<'_>) -> u8 {
    let is_preferred = request
        .preferred_rack
        .is_some_and(|rack| agent.has_label(rack));
    let for_rack = agent.rack_in_demand && !is_preferred;
    u8::from(for_rack) * 2 + u8::from(agent.is_scarce_for_speed)
}

/// Cost of placing the task at the instance; `None` if the service or the labels don't match.
fn cost(
    now: Instant,
    id: AgentId,
    agent: &Agent,
    request: &PlacementRequest<'_>,
    source: CapacitySource,
) -> Option<Cost> {
    let instance = agent.instance.as_ref()?;
    let has = |label: &str| agent.has_label(label);
    let is_eligible = instance.service == request.service && request.required_label.is_none_or(has);
    if !is_eligible {
        return None;
    }
    let left_cpu_milli = agent.free().saturating_sub(&request.needs).cpu_milli;
    let is_remote = !request.preferred_rack.is_none_or(has);
    let wait_ms = agent.expected_wait_ms(now, &request.needs, request.level);
    let work_ms = work_ms(agent, request, is_remote);
    // A task off its rack takes more capacity than one on a scarce instance would.
    let has_margin = request.steers && !is_remote && has_margin(request, wait_ms, work_ms);
    Some(Cost {
        avoided: request.avoid_agent == Some(id),
        other_rack: is_remote && request.remote_factor <= 1.0,
        without_margin: request.steers && !has_margin,
        scarcity: if has_margin {
            scarcity(agent, request)
        } else {
            0
        },
        finish_bucket: wait_ms.saturating_add(work_ms) / FINISH_BUCKET_MS,
        response_bucket: (agent.health.response_ratio() / RESPONSE_RATIO_BUCKET) as u64,
        packing_cost: match source {
            CapacitySource::Local => left_cpu_milli,
            CapacitySource::Reported => {
                let tasks = left_cpu_milli / request.needs.cpu_milli.max(1);
                AMPLE_TASKS - tasks.min(AMPLE_TASKS)
            }
        },
        tie_breaker: match source {
            CapacitySource::Local => 0,
            CapacitySource::Reported => tie_breaker(request.task, id),
        },
        agent: id,
    })
}
