//! Measures the time that the bench itself (timers, relay and stand-in endpoint) adds to a
//! response time.

use std::time::{Duration, Instant};

use hemlock_standin::{StandinConfig, StandinEndpoint};

use crate::cluster::layout::free_addresses;
use crate::cluster::relay::Relays;
use crate::error::BenchError;
use crate::load::summary::Sample;
use crate::options::Options;
use crate::scenario::policy_run::network_us;

/// Number of measured calls.
const CALLS: usize = 40;
/// Service time of each call, in milliseconds.
const WORK_MS: u64 = 50;
/// Timeout of reading an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls a stand-in endpoint through a relay, without entry and agent, and returns the mean time
/// beyond service time and network latency, in milliseconds.
///
/// # Errors
///
/// [`BenchError`] when the stand-in or the relay can't start, or a call fails.
pub(crate) fn measure_floor_ms(options: &Options) -> Result<f64, BenchError> {
    let service = options.deployment.service();
    let endpoint = StandinEndpoint::start(StandinConfig::new(service))?;
    let relays = Relays::start(options.deployment.domain_latency_us())?;
    let listen = free_addresses(1)?[0].advertised;
    relays.add(listen, endpoint.address())?;
    let client_latency = Duration::from_micros(options.deployment.client_latency_us());
    let expected_ms = WORK_MS as f64 + network_us(options) as f64 / 1e3;
    let mut excess_ms = Vec::new();
    for _ in 0..CALLS {
        let start = Instant::now();
        std::thread::sleep(client_latency);
        attohttpc::post(format!("http://{listen}/{service}/search"))
            .read_timeout(CALL_TIMEOUT)
            .text(format!("{{\"work_ms\":{WORK_MS}}}"))
            .send()?
            .text()?;
        std::thread::sleep(client_latency);
        excess_ms.push(start.elapsed().as_secs_f64() * 1e3 - expected_ms);
    }
    Ok(Sample::new(excess_ms).mean())
}
