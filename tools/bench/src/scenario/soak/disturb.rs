//! Kills, planned stops, pauses and silent connections, at random.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::book::Book;
use crate::cluster::process::Process;
use crate::cluster::running::Cluster;

/// Time between disturbances, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 300..4_000;
/// Length of a disturbance, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..9_000;
/// Longest time that a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Time after a disturbance in which an entry may still refuse connections.
const SETTLE: Duration = Duration::from_secs(3);

/// What was done, and what planned stops did wrong.
#[derive(Debug, Default)]
pub(super) struct Disturbances {
    pub(super) counts: BTreeMap<String, u64>,
    pub(super) cut_by_planned_stop: u64,
    pub(super) overdue: u64,
    pub(super) unclean_exits: u64,
}

impl Disturbances {
    /// How many promises were broken.
    pub(super) fn broken(&self) -> u64 {
        self.cut_by_planned_stop + self.overdue + self.unclean_exits
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Kill,
    Stop,
    Pause,
    Silence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Keeper(usize),
    Entry(usize),
    Agent(usize),
}

/// Disturbs one process after another until `end`, then lets everything run.
pub(super) fn disturb_until(
    cluster: &mut Cluster,
    seed: u64,
    end: Instant,
    book: &Book,
) -> Disturbances {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut done = Disturbances::default();
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(random.random_range(GAP_MS)));
        let part = draw_part(cluster, &mut random);
        let second = random
            .random_bool(0.25)
            .then(|| draw_part(cluster, &mut random));
        let kind = draw_kind(part, &mut random);
        let length = Duration::from_millis(random.random_range(LENGTH_MS));
        let from = Instant::now();
        // A second process of another kind dies at the same time.
        let also = second.filter(|second| *second != part);
        if let Some(also) = also {
            count(&mut done, also, Kind::Kill);
            process(cluster, also).kill();
        }
        count(&mut done, part, kind);
        disturb(cluster, part, kind, length, &mut done);
        if let Some(also) = also {
            // A process that can't be started again shows as work that is never served.
            let _ = process(cluster, also).restart();
        }
        for disturbed in [Some(part), also].into_iter().flatten() {
            if let Part::Entry(entry) = disturbed {
                book.record_disturbed(entry, from, Instant::now() + SETTLE);
            }
        }
    }
    done
}

fn draw_part(cluster: &Cluster, random: &mut Pcg64) -> Part {
    match random.random_range(0..3) {
        0 => Part::Keeper(random.random_range(0..cluster.keepers.len())),
        1 => Part::Entry(random.random_range(0..cluster.entries.len())),
        _ => Part::Agent(random.random_range(0..cluster.agents.len())),
    }
}

fn draw_kind(part: Part, random: &mut Pcg64) -> Kind {
    match (part, random.random_range(0..4)) {
        (_, 0) => Kind::Kill,
        (_, 1) => Kind::Stop,
        (Part::Agent(_), 2) => Kind::Silence,
        _ => Kind::Pause,
    }
}

fn process(cluster: &mut Cluster, part: Part) -> &mut Process {
    match part {
        Part::Keeper(index) => &mut cluster.keepers[index].process,
        Part::Entry(index) => &mut cluster.entries[index].process,
        Part::Agent(index) => &mut cluster.agents[index].process,
    }
}

fn disturb(
    cluster: &mut Cluster,
    part: Part,
    kind: Kind,
    length: Duration,
    done: &mut Disturbances,
) {
    match kind {
        Kind::Kill => {
            process(cluster, part).kill();
            std::thread::sleep(length);
            let _ = process(cluster, part).restart();
        }
        Kind::Pause => {
            process(cluster, part).pause();
            std::thread::sleep(length);
            process(cluster, part).resume();
        }
        Kind::Silence => silence(cluster, part, length),
        Kind::Stop => {
            stop_as_planned(cluster, part, done);
            let _ = process(cluster, part).restart();
        }
    }
}

fn silence(cluster: &Cluster, part: Part, length: Duration) {
    let Part::Agent(index) = part else {
        return;
    };
    let Some(silence) = cluster.silences.get(index) else {
        return;
    };
    // Odd agents fall silent in one direction only.
    silence.answers.store(true, Ordering::SeqCst);
    silence.requests.store(index % 2 == 0, Ordering::SeqCst);
    std::thread::sleep(length);
    silence.answers.store(false, Ordering::SeqCst);
    silence.requests.store(false, Ordering::SeqCst);
}

fn stop_as_planned(cluster: &mut Cluster, part: Part, done: &mut Disturbances) {
    let cut_before = cut_at(cluster, part);
    process(cluster, part).terminate();
    match process(cluster, part).wait(STOP_LIMIT) {
        Some(status) if status.success() => {}
        Some(_) => done.unclean_exits += 1,
        None => done.overdue += 1,
    }
    done.cut_by_planned_stop += cut_at(cluster, part) - cut_before;
}

/// Requests that were cut at the endpoint of an agent.
fn cut_at(cluster: &Cluster, part: Part) -> u64 {
    match part {
        Part::Agent(index) => cluster.endpoints[index].counts().cut,
        Part::Keeper(_) | Part::Entry(_) => 0,
    }
}

fn count(done: &mut Disturbances, part: Part, kind: Kind) {
    let role = match part {
        Part::Keeper(_) => "keeper",
        Part::Entry(_) => "entry",
        Part::Agent(_) => "agent",
    };
    let name = format!("{kind:?}-{role}").to_lowercase();
    *done.counts.entry(name).or_default() += 1;
}
