//! The number of waiting jobs of a queue while kept jobs wait behind more urgent best-effort jobs.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{Run, SEARCH, SMALL, VISIT};
use crate::Verdict;
use crate::deployment::{Deployment, job, step};

/// Urgent best-effort jobs a second, 8 tasks of 0.3 s each. The minions can run 45.
const USUAL_PER_S: f64 = 28.0;
/// Factor and length of the burst.
const BURST: f64 = 2.4;
const BURST_LENGTH: Duration = Duration::from_millis(6_800);
/// Usual traffic before it and after it.
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(3);
/// Kept jobs of the least urgent queue, sent within the first second of the burst.
const JOBS: u64 = 16;
/// Time after which a job that hasn't begun must be counted: `visible_ms` and 2 s.
const COUNTED_AFTER_MS: u64 = 5_000;
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sends urgent best-effort jobs for a while, at a steady rate.
fn send(deployment: &Arc<Deployment>, per_s: f64, length: Duration, first: u64) {
    let begun = Instant::now();
    let mut sent = 0;
    while begun.elapsed() < length {
        if sent as f64 >= begun.elapsed().as_secs_f64() * per_s {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        let (deployment, number) = (Arc::clone(deployment), first + sent);
        sent += 1;
        thread::spawn(move || {
            let body = job("work=300", true, &[step(8, 6_200, 300)]);
            let path = format!("{SEARCH}beef0000{number:07x}a");
            let deadline = "X-Deadline-Ms: 1500\r\n";
            deployment.client(number as usize % 4, "POST", &path, deadline, &body, TIMEOUT);
        });
    }
}

impl Run<'_> {
    pub fn counted(&self) -> Verdict {
        let deployment = match self.deploy(SMALL) {
            Ok(deployment) => Arc::new(deployment),
            Err(verdict) => return verdict,
        };
        let traffic_of = Arc::clone(&deployment);
        let factor = if self.trouble { BURST } else { 1.0 };
        let traffic = thread::spawn(move || {
            send(&traffic_of, USUAL_PER_S, BEFORE, 0);
            traffic_of.record.note("the burst begins");
            send(&traffic_of, USUAL_PER_S * factor, BURST_LENGTH, 10_000);
            traffic_of.record.note("the burst is over");
            send(&traffic_of, USUAL_PER_S, AFTER, 20_000);
        });
        thread::sleep(BEFORE + Duration::from_millis(200));
        let mut accepted = Vec::new();
        for number in 0..JOBS {
            let body = job("work=900", false, &[step(4, 6_200, 900)]);
            let path = format!("{VISIT}5c0e7a21{number:07x}a");
            let reply = deployment.client(number as usize % 4, "POST", &path, "", &body, TIMEOUT);
            if reply.is_some_and(|reply| reply.status == 200) {
                accepted.push((format!("5c0e7a21{number:07x}a."), self.record.now_ms()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        let mut broken = Vec::new();
        let mut turn = 0;
        while !traffic.is_finished() {
            thread::sleep(Duration::from_millis(200));
            turn += 1;
            let asked_ms = self.record.now_ms();
            let reply = deployment.client(turn % 4, "GET", VISIT, "", "", TIMEOUT);
            let count = reply.and_then(|reply| reply.body["queuedCount"].as_u64());
            let events: Vec<_> = deployment.minions.iter().flat_map(|m| m.events()).collect();
            // Jobs that hadn't begun when the answer was here.
            let waiting = accepted.iter().filter(|(prefix, at)| {
                at + COUNTED_AFTER_MS < asked_ms
                    && !events.iter().any(|event| event.task.starts_with(prefix))
            });
            let waiting = waiting.count() as u64;
            self.record.note(format!(
                "{count:?} said to wait, {waiting} wait for over 5 s"
            ));
            if let Some(count) = count.filter(|count| *count * 2 < waiting) {
                broken.push((count, waiting));
            }
        }
        let _ = traffic.join();
        match broken.first() {
            None if accepted.is_empty() => Verdict::NotRun("no job was accepted".to_owned()),
            None => Verdict::Held,
            Some((count, waiting)) => Verdict::Broken(format!(
                "MIXED: {} answers give under half of the jobs that have waited for over 5 s, the first {count} of {waiting}",
                broken.len()
            )),
        }
    }
}
