//! Random traces of task arrivals and service times, reproducible by seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Shortest service time, in milliseconds.
const SERVICE_MIN_MS: f64 = 50.0;
/// Mean of the exponential part of a short task's service time, in milliseconds.
const SERVICE_SPREAD_MS: f64 = 250.0;
/// Longest service time of a short task, in milliseconds.
const SERVICE_MAX_MS: f64 = 1_000.0;
/// Share of long tasks, which take several seconds.
const LONG_SHARE: f64 = 0.02;
/// Range of a long task's service time, in milliseconds.
const LONG_MS: std::ops::Range<f64> = 2_000.0..5_000.0;
/// Mean service time of short and long tasks together, in milliseconds.
const SERVICE_MEAN_MS: f64 = 358.0;
/// Share of the arrivals of a bursty trace that arrive in bursts.
const BURST_SHARE: f64 = 0.3;
/// Number of tasks in a burst, which arrive at the same time.
const BURST_ARRIVALS: usize = 40;

/// One task of a trace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TracedTask {
    /// Time at which the caller sends it, in microseconds from the start of the trace.
    pub(crate) arrival_us: u64,
    /// Service time at the endpoint, in milliseconds.
    pub(crate) work_ms: u64,
}

/// Distribution of arrivals over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrivals {
    /// Independent arrivals at a constant rate.
    Poisson,
    /// The same mean rate, with part of the arrivals in bursts.
    Bursty,
}

/// Draws a random trace of `seconds`, whose mean load is `load` times the capacity of `slots`.
pub(crate) fn draw_trace(
    seed: u64,
    slots: usize,
    load: f64,
    seconds: u64,
    arrivals: Arrivals,
) -> Vec<TracedTask> {
    let mut random = Pcg64::seed_from_u64(seed);
    let rate_per_s = load * slots as f64 * 1_000.0 / SERVICE_MEAN_MS;
    let end_us = seconds * 1_000_000;
    let mut trace = Vec::new();
    let mut now_us = 0.0;
    loop {
        let burst = match arrivals {
            Arrivals::Poisson => 1,
            Arrivals::Bursty => burst_size(&mut random),
        };
        now_us += exponential(&mut random) * burst as f64 * 1e6 / rate_per_s;
        if now_us >= end_us as f64 {
            return trace;
        }
        for _ in 0..burst {
            let work_ms = draw_service_ms(&mut random);
            trace.push(TracedTask {
                arrival_us: now_us as u64,
                work_ms,
            });
        }
    }
}

fn burst_size(random: &mut Pcg64) -> usize {
    let burst_probability = BURST_SHARE / BURST_ARRIVALS as f64;
    match random.random::<f64>() < burst_probability {
        true => BURST_ARRIVALS,
        false => 1,
    }
}

fn draw_service_ms(random: &mut Pcg64) -> u64 {
    if random.random::<f64>() < LONG_SHARE {
        return random.random_range(LONG_MS) as u64;
    }
    let ordinary = SERVICE_MIN_MS + exponential(random) * SERVICE_SPREAD_MS;
    ordinary.min(SERVICE_MAX_MS) as u64
}

/// Draws from the exponential distribution with mean 1.
fn exponential(random: &mut Pcg64) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
