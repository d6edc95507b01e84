//! Jobs that callers submit.

use bytes::Bytes;
use hemlock_jobs::prelude::*;
use rand::RngExt;

use super::{Evacuation, Event, Replay};

/// How long callers wait for an answer.
pub(crate) const CALLER_TIMEOUT_US: u64 = 8_000_000;
/// Time after the last submission for which the replay goes on.
const DRAIN_US: u64 = 3_000_000;
/// Ratio to the mean work of a kind that a tenth of its jobs exceeds: the work is the product of two
/// log-normal factors.
const LARGEST_TENTH: f64 = 1.75;
pub(super) const START_US: u64 = 1_000_000;
/// Ratio of the duration of long tasks to that of others.
const TAIL_FACTOR: f64 = 7.0;

/// A kind of job.
#[derive(Clone, Debug)]
pub(crate) struct JobKind {
    pub(crate) queue: Queue,
    pub(crate) per_s: f64,
    pub(crate) mean_width: f64,
    pub(crate) mean_ms: f64,
    pub(crate) cpu_milli: f64,
    /// Worth of a job of mean size that is answered in time.
    pub(crate) worth: f64,
    /// Number of racks of which each job prefers one; zero for no preference.
    pub(crate) preferred_racks: usize,
}

/// A time in which more jobs of a kind are submitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) kind: Option<usize>,
    pub(crate) factor: f64,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
}

/// A time in which a share of a kind's jobs prefers the same rack.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HotKey {
    pub(crate) kind: usize,
    pub(crate) share: f64,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
}

/// The load of a replay.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) kinds: Vec<JobKind>,
    pub(crate) bursts: Vec<Burst>,
    pub(crate) hot_key: Option<HotKey>,
    pub(crate) evacuations: Vec<Evacuation>,
    /// Share of the tasks that take [`TAIL_FACTOR`] times as long as others.
    pub(crate) tail_share: f64,
    pub(crate) length_ms: u64,
}

/// A submission.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: JobId,
    pub(crate) kind: usize,
    pub(crate) at_us: u64,
    pub(crate) spec: JobSpec,
    pub(crate) objective_us: u64,
    pub(crate) worth: f64,
    /// Whether the job's work is among the largest tenth of its kind.
    pub(crate) is_large: bool,
}

pub(crate) fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        service: "s".to_owned(),
        timeout_ms: 1_500,
        target_latency_ms: 60,
        priority,
        max_attempts: 2,
        slack_factor: 1.6,
    }
}

impl Load {
    /// The three kinds of job of the users' deployments, with a factor for the rates.
    pub(crate) fn users_mix(rate: f64, cores: f64, length_ms: u64) -> Self {
        let kind = |name, priority, per_s: f64, mean_width, mean_ms, worth| JobKind {
            queue: queue(name, priority),
            per_s: per_s * rate,
            mean_width,
            mean_ms,
            cpu_milli: cores * 1_000.0,
            worth,
            preferred_racks: 0,
        };
        Self {
            kinds: vec![
                kind("search", 0, 34.4, 8.0, 60.0, 0.0291),
                kind("booking", 2, 6.25, 4.0, 900.0, 0.16),
                kind("posting", 1, 100.0, 2.0, 200.0, 0.01),
            ],
            bursts: Vec::new(),
            hot_key: None,
            evacuations: Vec::new(),
            tail_share: 0.0,
            length_ms,
        }
    }

    /// Lets each job of a kind prefer one of a number of racks.
    pub(crate) fn prefer_racks(&mut self, kind: usize, racks: usize) {
        self.kinds[kind].preferred_racks = racks;
    }

    /// The rack that a job submitted at this time prefers, if any.
    fn preferred_rack(&self, rng: &mut impl RngExt, kind: usize, at_ms: u64) -> Option<String> {
        let racks = self.kinds[kind].preferred_racks;
        if racks == 0 {
            return None;
        }
        let hot = self.hot_key.filter(|hot| {
            hot.kind == kind
                && (hot.from_ms..hot.to_ms).contains(&at_ms)
                && rng.random_range(0.0..1.0) < hot.share
        });
        let rack = match hot {
            Some(_) => 0,
            None => rng.random_range(0..racks),
        };
        Some(format!("rack-{rack}"))
    }

    pub(crate) fn end_us(&self) -> u64 {
        START_US + self.length_ms * 1_000 + DRAIN_US
    }

    fn factor(&self, kind: usize, at_ms: u64) -> f64 {
        let active = |burst: &&Burst| {
            (burst.from_ms..burst.to_ms).contains(&at_ms)
                && burst.kind.is_none_or(|only| only == kind)
        };
        self.bursts
            .iter()
            .filter(active)
            .map(|b| b.factor)
            .product()
    }
}

/// A log-normal factor of mean one.
fn spread(rng: &mut impl RngExt, sigma: f64) -> f64 {
    let uniform: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
    ((uniform - 6.0) * sigma - sigma * sigma / 2.0).exp()
}

impl Replay {
    pub(super) fn schedule_arrivals(&mut self) {
        let weights = self.deployment.gateway_weights.clone();
        let weight = |gateway: usize| weights[gateway % weights.len()];
        let total: f64 = (0..self.deployment.gateways).map(weight).sum();
        let mut next_id = 1;
        for kind in 0..self.load.kinds.len() {
            let mut at_us = 0.0;
            loop {
                let rate =
                    self.load.kinds[kind].per_s * self.load.factor(kind, (at_us / 1_000.0) as u64);
                let gap: f64 = -self.rng.random_range(1e-9_f64..1.0).ln();
                at_us += gap * 1e6 / rate;
                if at_us > self.load.length_ms as f64 * 1_000.0 {
                    break;
                }
                let mut draw = self.rng.random_range(0.0..total);
                let gateway = (0..self.deployment.gateways)
                    .find(|gateway| {
                        draw -= weight(*gateway);
                        draw < 0.0
                    })
                    .unwrap_or(0);
                let arrival = self.new_arrival(next_id, kind, START_US + at_us as u64);
                next_id += 1;
                let arrives_us = arrival.at_us;
                self.at(arrives_us, Event::Submit(gateway, arrival));
            }
        }
    }

    fn new_arrival(&mut self, id: u64, kind: usize, at_us: u64) -> Arrival {
        let id = JobId(id);
        let description = self.load.kinds[kind].clone();
        let width = (description.mean_width * spread(&mut self.rng, 0.4)).round();
        let width = width.clamp(1.0, description.mean_width * 4.0) as u16;
        let work_ms = description.mean_ms * spread(&mut self.rng, 0.4);
        let cpu_milli = (description.cpu_milli * spread(&mut self.rng, 0.2)) as u64;
        let tail_share = self.load.tail_share;
        let durations_ms: Vec<u64> = (0..width)
            .map(|_| {
                let is_long = tail_share > 0.0 && self.rng.random_range(0.0..1.0) < tail_share;
                let tail_factor = if is_long { TAIL_FACTOR } else { 1.0 };
                (work_ms * tail_factor * spread(&mut self.rng, 0.15)).max(1.0) as u64
            })
            .collect();
        let longest_ms = durations_ms.iter().copied().max().unwrap_or(0);
        let mut step = StepSpec::new(width);
        step.needs.cpu_milli = cpu_milli.max(1);
        step.needs.memory_mb = 64;
        step.estimate_ms = (work_ms * self.rng.random_range(0.6..1.4)) as u64;
        let at_ms = (at_us - START_US) / 1_000;
        step.preferred_rack = self.load.preferred_rack(&mut self.rng, kind, at_ms);
        if let Some(rack) = &step.preferred_rack {
            self.preferred_racks.insert(id, rack.clone());
        }
        self.durations_ms.insert(id, durations_ms);
        let mut spec = JobSpec::new(Bytes::from_static(b"work"), vec![step]);
        spec.best_effort = true;
        let queue = &description.queue;
        let objective_ms = longest_ms as f64 * queue.slack_factor + queue.target_latency_ms as f64;
        let size = work_ms * f64::from(width) / (description.mean_ms * description.mean_width);
        Arrival {
            id,
            kind,
            at_us,
            spec,
            objective_us: (objective_ms * 1_000.0) as u64,
            worth: description.worth * (0.3 + 0.7 * size).min(4.0),
            is_large: size >= LARGEST_TENTH,
        }
    }
}
