//! The choice of an instance for a task.
//!
//! While capacity is free, a task goes where it is expected to end first. The expectation covers
//! the wait, the slowdown of the instance, and its recent response times, which also reflect work
//! of other dispatchers that is not reported yet.
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
    other_rack: bool,
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

/// Expected time until the task ends at the instance, in units of [`FINISH_BUCKET_MS`].
fn finish_bucket(now: Instant, agent: &Agent, request: &PlacementRequest<'_>) -> u64 {
    let wait_ms = agent.expected_wait_ms(now, &request.needs, request.level);
    let work_ms = (request.expected_ms as f64 * agent.health.slowdown()) as u64;
    (wait_ms + work_ms) / FINISH_BUCKET_MS
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
    let has = |label: &str| instance.labels.iter().any(|own| own == label);
    let is_eligible = instance.service == request.service && request.required_label.is_none_or(has);
    let left_cpu_milli = agent.free().saturating_sub(&request.needs).cpu_milli;
    is_eligible.then(|| Cost {
        avoided: request.avoid_agent == Some(id),
        other_rack: !request.preferred_rack.is_none_or(has),
        finish_bucket: finish_bucket(now, agent, request),
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
