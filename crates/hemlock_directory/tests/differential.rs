//! Compares the directory with a simple reference model, and with copies that entries keep by
//! deltas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlock_directory::prelude::*;
use hemlock_types::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LEASE: DurationMs = DurationMs::new(100);
/// Time for which a displaced incarnation is rejected, in milliseconds.
const DISPLACED_RETENTION_MS: u64 = 60_000;

#[derive(Clone, Debug)]
enum Step {
    Announce {
        agent: u8,
        port: u8,
        service: u8,
        stopped: bool,
    },
    Withdraw {
        agent: u8,
    },
    Stop {
        agent: u8,
    },
    AdvanceTime {
        ms: u8,
    },
    Sync {
        entry: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let agent = u8::arbitrary(g) % 8;
        match u8::arbitrary(g) % 10 {
            0..=4 => Self::Announce {
                agent,
                port: u8::arbitrary(g) % 5,
                service: u8::arbitrary(g) % 2,
                stopped: bool::arbitrary(g),
            },
            5 => Self::Withdraw { agent },
            6 => Self::Stop { agent },
            7 => Self::AdvanceTime {
                ms: u8::arbitrary(g) % 120,
            },
            _ => Self::Sync {
                entry: u8::arbitrary(g) % 3,
            },
        }
    }
}

fn announcement(agent: u8, port: u8, service: u8) -> Announcement {
    Announcement {
        agent: Incarnation(agent.into()),
        service: ServiceName::new(format!("s{service}")),
        slots: 8,
        connections: 64,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::from(port))),
        domain: FailureDomainName::from("harju-1"),
        rack: RackName::from("r1"),
        cores: 64,
        memory_mb: 1_024,
        state: EndpointState::Serving,
    }
}

/// Reference model: a list of endpoints with the time of their last announcement, searched
/// linearly.
#[derive(Default)]
struct Model {
    endpoints: Vec<(Announcement, Instant)>,
    displaced: Vec<(Incarnation, Instant)>,
}

impl Model {
    fn expire(&mut self, now: Instant) {
        self.endpoints
            .retain(|(_, renewed_at)| *renewed_at + LEASE > now);
        self.displaced
            .retain(|(_, since)| now.since(*since).as_ms() < DISPLACED_RETENTION_MS);
    }

    fn announce(&mut self, now: Instant, announced: &Announcement) {
        if self
            .displaced
            .iter()
            .any(|(agent, _)| *agent == announced.agent)
        {
            return;
        }
        let has_same_address = |held: &Announcement| held.address == announced.address;
        for (held, _) in &self.endpoints {
            if has_same_address(held) && held.agent != announced.agent {
                self.displaced.push((held.agent, now));
            }
        }
        self.endpoints
            .retain(|(held, _)| held.agent != announced.agent && !has_same_address(held));
        self.endpoints.push((announced.clone(), now));
    }

    fn announcements(&self) -> BTreeMap<Incarnation, Announcement> {
        let all = self.endpoints.iter();
        all.map(|(held, _)| (held.agent, held.clone())).collect()
    }
}

/// An entry's copy of the directory, kept up to date by updates.
#[derive(Default)]
struct Follower {
    position: (u64, u64),
    endpoints: BTreeMap<Incarnation, Announcement>,
}

impl Follower {
    fn apply_update(&mut self, update: DirectoryUpdate) {
        match update {
            DirectoryUpdate::Current => {}
            DirectoryUpdate::Delta {
                generation,
                from,
                to,
                changed,
                gone,
            } => {
                assert_eq!((generation, from), self.position);
                for agent in gone {
                    self.endpoints.remove(&agent);
                }
                let by_agent = changed
                    .into_iter()
                    .map(|endpoint| (endpoint.agent, endpoint));
                self.endpoints.extend(by_agent);
                self.position = (generation, to);
            }
            DirectoryUpdate::Snapshot {
                generation,
                version,
                endpoints,
            } => {
                let by_agent = endpoints
                    .into_iter()
                    .map(|endpoint| (endpoint.agent, endpoint));
                self.endpoints = by_agent.collect();
                self.position = (generation, version);
            }
        }
    }
}

fn run(steps: &[Step]) -> bool {
    let mut now = Instant::from_ms(1);
    let mut directory = Directory::new(4, LEASE);
    let mut model = Model::default();
    let mut followers: [Follower; 3] = Default::default();
    steps.iter().all(|step| {
        directory.expire(now);
        model.expire(now);
        match step {
            Step::Announce {
                agent,
                port,
                service,
                stopped,
            } => {
                let mut announced = announcement(*agent, *port, *service);
                directory.announce(now, &announced, 0, *stopped);
                if *stopped {
                    announced.state = EndpointState::Draining;
                }
                model.announce(now, &announced);
            }
            Step::Withdraw { agent } => {
                let agent = Incarnation((*agent).into());
                directory.withdraw(agent);
                model.endpoints.retain(|(held, _)| held.agent != agent);
            }
            Step::Stop { agent } => {
                let agent = Incarnation((*agent).into());
                directory.apply_stops(|endpoint| endpoint.agent == agent);
                for (held, _) in &mut model.endpoints {
                    held.state = match held.agent == agent {
                        true => EndpointState::Draining,
                        false => EndpointState::Serving,
                    };
                }
            }
            Step::AdvanceTime { ms } => now += DurationMs::new((*ms).into()),
            Step::Sync { entry } => {
                let follower = &mut followers[usize::from(*entry)];
                follower.apply_update(directory.update_since(follower.position));
                return follower.endpoints == model.announcements();
            }
        }
        directory.len() == model.endpoints.len()
    })
}

#[test]
fn matches_the_reference_model() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn property(steps: Vec<Step>) -> bool {
        run(&steps)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_restarted_endpoint_replaces_its_earlier_incarnation() {
    let mut directory = Directory::new(1, LEASE);
    let now = Instant::from_ms(1);
    directory.announce(now, &announcement(1, 0, 0), 0, false);
    let outcome = directory.announce(now, &announcement(2, 0, 0), 0, false);
    assert_eq!(outcome, AnnounceOutcome::Changed);
    let late = directory.announce(now, &announcement(1, 0, 0), 0, false);
    assert_eq!(late, AnnounceOutcome::Displaced);
    assert_eq!(directory.len(), 1);
}

#[test]
fn an_entry_that_missed_too_many_removals_gets_a_snapshot() {
    let mut directory = Directory::new(1, LEASE);
    let now = Instant::from_ms(1);
    for number in 0..6_000_u64 {
        let mut announced = announcement(0, 0, 0);
        announced.agent = Incarnation(number);
        directory.announce(now, &announced, 0, false);
        directory.withdraw(Incarnation(number));
    }
    assert!(matches!(
        directory.update_since((1, 10)),
        DirectoryUpdate::Snapshot { .. }
    ));
    assert!(matches!(
        directory.update_since((1, 11_990)),
        DirectoryUpdate::Delta { .. }
    ));
    assert!(matches!(
        directory.update_since((2, 11_990)),
        DirectoryUpdate::Snapshot { .. }
    ));
}
