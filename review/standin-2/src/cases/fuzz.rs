//! Malformed and unusual messages, to look for processes that end by themselves. Not a case.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::soak::Rng;
use super::{POSTING, Run, SEARCH, SMALL, three_queues};
use crate::Verdict;
use crate::deployment::{HOST, job, step};
use crate::http;

fn odd(rng: &mut Rng) -> Value {
    match rng.below(14) {
        0 => Value::Null,
        1 => json!(-1),
        2 => json!(0),
        3 => json!(1e308),
        4 => json!(-1e308),
        5 => json!(u64::MAX),
        6 => json!(i64::MAX),
        7 => json!(""),
        8 => json!("x".repeat(5_000)),
        9 => json!([]),
        10 => json!({}),
        11 => json!(0.5),
        12 => json!(1_000_000_000),
        _ => json!(4_294_967_295_u64),
    }
}

/// Replaces a random value by an odd one, or drops it.
fn mutate(value: &mut Value, rng: &mut Rng) {
    match value {
        Value::Object(fields) if !fields.is_empty() && rng.below(8) > 0 => {
            let at = rng.below(fields.len() as u64) as usize;
            let key = fields.keys().nth(at).cloned().unwrap_or_default();
            match rng.below(6) {
                0 => {
                    fields.remove(&key);
                }
                _ => mutate(fields.get_mut(&key).unwrap(), rng),
            }
        }
        Value::Array(entries) if !entries.is_empty() && rng.below(8) > 0 => {
            let at = rng.below(entries.len() as u64) as usize;
            mutate(&mut entries[at], rng);
        }
        other => *other = odd(rng),
    }
}

fn text(value: &Value, rng: &mut Rng) -> String {
    let text = value.to_string();
    match rng.below(12) {
        0 => text[..rng.below(text.len() as u64) as usize].to_owned(),
        1 => format!("{text}}}"),
        2 => "[".repeat(20_000),
        _ => text,
    }
}

impl Run<'_> {
    pub fn fuzz(&self) -> Verdict {
        let deployment = match self.deploy(SMALL) {
            Ok(deployment) => deployment,
            Err(verdict) => return verdict,
        };
        let mut rng = Rng::new(self.seed);
        let begun = Instant::now();
        let short = Duration::from_millis(300);
        let mut version = 2;
        let mut counts = [0_u64; 4];
        while begun.elapsed() < Duration::from_secs(60) {
            let (target, times) = (rng.below(4), 1 + rng.below(3));
            counts[target as usize] += 1;
            match target {
                0 => {
                    let index = rng.below(11) as usize;
                    let id = deployment.minions[index].id();
                    let mut body = json!({
                        "service": "loovutus-portaal", "addr": "127.0.0.1:1", "zone": "harju-1", "version": "v1", "slots": 8,
                        "state": "ready", "coldLeftMs": 0, "capacity": {"cpu": 64_000, "memMb": 262_144, "gpu": 0},
                        "labels": ["a"], "clockMs": 1_000, "born": deployment.minions[index].born(), "seq": rng.below(50),
                        "remainingMs": 100,
                    });
                    for _ in 0..times {
                        mutate(&mut body, &mut rng);
                    }
                    let body = text(&body, &mut rng);
                    let path = format!("/hemlockridge/instances/{id}");
                    http::call(
                        deployment.runner_control(index),
                        "PUT",
                        &path,
                        "runner",
                        "",
                        &body,
                        short,
                    );
                }
                1 | 2 => {
                    let mut body: Value = serde_json::from_str(&job("work=20", rng.below(2) == 0, &[
                        step(2, 1_000, 20),
                        json!({"count": 2, "cpu": 1_000, "memMb": 10, "estimateMs": 20, "dependsOn": [0], "constraints": "a",
                               "affinity": "r1-0", "antiAffinity": 1, "gpu": 0}),
                    ])).unwrap();
                    for _ in 0..times {
                        mutate(&mut body, &mut rng);
                    }
                    let body = text(&body, &mut rng);
                    let path = format!(
                        "{}{:015x}a",
                        [SEARCH, POSTING][rng.below(2) as usize],
                        rng.next() >> 4
                    );
                    let header = [
                        "",
                        "X-Deadline-Ms: 18446744073709551615\r\n",
                        "X-Deadline-Ms: 0\r\n",
                        "X-Deadline-Ms: -5\r\n",
                        "X-Deadline-Ms: 200\r\n",
                    ][rng.below(5) as usize];
                    let gateway = rng.below(4) as usize;
                    http::call(
                        deployment.gateway(gateway),
                        "POST",
                        &path,
                        HOST,
                        header,
                        &body,
                        short,
                    );
                    if rng.below(4) == 0 {
                        http::call(
                            deployment.gateway(gateway),
                            "DELETE",
                            &path,
                            HOST,
                            "",
                            "",
                            short,
                        );
                    }
                }
                _ => {
                    let mut body: Value = serde_json::from_str(&three_queues(version)).unwrap();
                    version += 1 + rng.below(3);
                    for _ in 0..times {
                        mutate(&mut body, &mut rng);
                    }
                    if body["version"]
                        .as_u64()
                        .is_some_and(|version| version > 1_000_000)
                    {
                        continue;
                    }
                    let body = text(&body, &mut rng);
                    for index in 0..5 {
                        deployment.operator(index, "PUT", &body);
                    }
                    if rng.below(3) == 0 {
                        version += 1;
                        let good = three_queues(version);
                        for index in 0..5 {
                            deployment.operator(index, "PUT", &good);
                        }
                    }
                }
            }
        }
        let ended = deployment.ended_by_themselves();
        self.record.note(format!(
            "messages {counts:?}; ended by themselves: {ended:?}"
        ));
        println!(
            "seed {}: messages {counts:?}; ended by themselves: {ended:?}",
            self.seed
        );
        match ended.first() {
            None => Verdict::Held,
            Some(first) => Verdict::Broken(format!("a process ended by itself: {first}")),
        }
    }
}
