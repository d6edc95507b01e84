//! The ideal: one work-conserving queue in front of all slots, with no delay of its own.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::load::trace::TracedTask;

/// Response time of each task of the trace, in microseconds.
///
/// Tasks start in order of arrival, each as soon as any slot is free. `network_us` is the sum
/// of the one-way latencies on a task's way there and back.
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
