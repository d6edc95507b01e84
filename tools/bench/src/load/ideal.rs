//! Response times of an ideal system: one work-conserving queue in front of all slots, without
//! any delay of its own.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::load::trace::TracedTask;

/// Returns the ideal response time of each task of the trace, in microseconds.
///
/// Tasks start in order of arrival, each as soon as any slot is free. `network_us` is the network
/// latency of a request and its answer together.
pub(crate) fn ideal_response_us(trace: &[TracedTask], slots: usize, network_us: u64) -> Vec<u64> {
    let mut free_at_us: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    trace
        .iter()
        .map(|task| {
            let Reverse(free_us) = free_at_us.pop().expect("there is at least one slot");
            let end_us = free_us.max(task.arrival_us) + task.work_ms * 1_000;
            free_at_us.push(Reverse(end_us));
            end_us - task.arrival_us + network_us
        })
        .collect()
}
