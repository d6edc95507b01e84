//! Random schedules of faults and loads.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::network::Path;
use super::{DOMAINS, GATEWAYS, MS, Node, RUNNERS};

/// Time at which a simulation starts.
const START_US: u64 = 10_000 * MS;
/// Time before the first fault, in which sessions begin and instances fill.
const WARM_UP_US: u64 = 1_500 * MS;
/// Time in which faults begin.
const FAULTS_US: u64 = 4_500 * MS;
/// Time after the last possible fault, for callers that submit again.
const COOL_DOWN_US: u64 = 4_000 * MS;

/// The paths that a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Between the gateway and the runner, or all of them.
    Links {
        gateway: Option<usize>,
        runner: Option<usize>,
        to_runner: bool,
        from_runner: bool,
    },
    /// Between a gateway and its callers.
    Callers {
        gateway: usize,
        to_gateway: bool,
        from_gateway: bool,
    },
    /// All paths of these machines.
    Machines(Vec<Node>),
    /// Between a failure domain and the others.
    Domain(usize),
}

impl Scope {
    pub(super) fn contains(&self, path: Path) -> bool {
        match (self, path) {
            (
                Self::Links {
                    gateway,
                    runner,
                    to_runner: true,
                    ..
                },
                Path::ToRunner(of_gateway, of_runner),
            )
            | (
                Self::Links {
                    gateway,
                    runner,
                    from_runner: true,
                    ..
                },
                Path::FromRunner(of_gateway, of_runner),
            ) => {
                gateway.is_none_or(|gateway| gateway == of_gateway)
                    && runner.is_none_or(|runner| runner == of_runner)
            }
            (
                Self::Callers {
                    gateway,
                    to_gateway: true,
                    ..
                },
                Path::FromCallers(of_gateway),
            )
            | (
                Self::Callers {
                    gateway,
                    from_gateway: true,
                    ..
                },
                Path::ToCallers(of_gateway),
            ) => *gateway == of_gateway,
            (Self::Machines(nodes), Path::ToRunner(gateway, runner))
            | (Self::Machines(nodes), Path::FromRunner(gateway, runner)) => {
                nodes.contains(&Node::Gateway(gateway)) || nodes.contains(&Node::Runner(runner))
            }
            (Self::Machines(nodes), Path::FromCallers(gateway) | Path::ToCallers(gateway)) => {
                nodes.contains(&Node::Gateway(gateway))
            }
            (
                Self::Domain(domain),
                Path::ToRunner(gateway, runner) | Path::FromRunner(gateway, runner),
            ) => (gateway % DOMAINS == *domain) != (runner % DOMAINS == *domain),
            _ => false,
        }
    }
}

/// How an instance treats the calls that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    /// Calls are executed and not answered.
    Unanswered { per_mille: u64 },
    /// Calls are not answered and executed 0.1 to 5 s later.
    Late { per_mille: u64 },
    /// Answers take up to this time longer.
    SlowAnswers { up_to_us: u64 },
    /// Calls take up to this time longer to arrive.
    SlowCalls { up_to_us: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    Pause {
        nodes: Vec<Node>,
        for_us: u64,
        /// Whether segments aren't acknowledged either.
        is_machine: bool,
    },
    Kill {
        nodes: Vec<Node>,
        off_us: u64,
    },
    PowerLoss {
        nodes: Vec<Node>,
        off_us: u64,
    },
    Cut {
        scope: Scope,
        for_us: u64,
    },
    Delay {
        scope: Scope,
        delay_us: u64,
        for_us: u64,
    },
    Reset {
        gateway: Option<usize>,
        runner: Option<usize>,
    },
    Silence {
        gateway: Option<usize>,
        runner: Option<usize>,
    },
    InstanceCrash {
        instance: usize,
        /// Connections aren't refused.
        is_dark: bool,
        off_us: u64,
    },
    Drain {
        instance: usize,
        for_us: u64,
        off_us: u64,
    },
    Calls {
        instance: usize,
        disturbance: Disturbance,
        for_us: u64,
    },
    Agents {
        gateway: usize,
        missing: Vec<usize>,
        for_us: u64,
    },
}

impl FaultKind {
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Pause {
                is_machine: true, ..
            } => "freeze",
            Self::Pause { .. } => "pause",
            Self::Kill { .. } => "kill",
            Self::PowerLoss { .. } => "power",
            Self::Cut {
                scope: Scope::Callers { .. },
                ..
            } => "cut-callers",
            Self::Cut { .. } => "cut",
            Self::Delay { .. } => "delay",
            Self::Reset { .. } => "reset",
            Self::Silence { .. } => "silence",
            Self::InstanceCrash { .. } => "crash",
            Self::Drain { .. } => "drain",
            Self::Calls { .. } => "calls",
            Self::Agents { .. } => "agents",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) at_us: u64,
    pub(crate) kind: FaultKind,
}

/// What happens in one simulation.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    /// Offered work as a share of the capacity, in percent.
    pub(crate) load_percent: u64,
    /// Shares of the kinds of jobs.
    pub(crate) kinds: [u64; 3],
    /// Share of connections that callers reset early, in thousandths.
    pub(crate) early_resets_per_mille: u64,
    pub(crate) jobs_from_us: u64,
    pub(crate) jobs_until_us: u64,
    pub(crate) end_us: u64,
    pub(crate) faults: Vec<Fault>,
}

struct Draw(Pcg64Mcg);

impl Draw {
    fn between(&mut self, from: u64, to: u64) -> u64 {
        self.0.random_range(from..=to)
    }

    fn index(&mut self, count: usize) -> usize {
        self.0.random_range(0..count)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.between(0, 99) < percent
    }

    /// A length of time, short ones as often as long ones.
    fn length_us(&mut self, from_ms: u64, to_ms: u64) -> u64 {
        let (from, to) = ((from_ms.max(1) as f64).ln(), (to_ms as f64).ln());
        let exponent = from + (to - from) * self.0.random_range(0.0..1.0);
        (exponent.exp() * MS as f64) as u64
    }

    fn node(&mut self) -> Node {
        match self.chance(50) {
            true => Node::Gateway(self.index(GATEWAYS)),
            false => Node::Runner(self.index(RUNNERS)),
        }
    }

    fn role(&mut self) -> Vec<Node> {
        let gateways = (0..GATEWAYS).map(Node::Gateway);
        let runners = (0..RUNNERS).map(Node::Runner);
        match self.index(3) {
            0 => gateways.collect(),
            1 => runners.collect(),
            _ => gateways.chain(runners).collect(),
        }
    }

    fn nodes(&mut self) -> Vec<Node> {
        match self.index(5) {
            0 => self.role(),
            1 => {
                let count = self.between(2, 5);
                let mut nodes: Vec<Node> = (0..count).map(|_| self.node()).collect();
                nodes.sort_unstable();
                nodes.dedup();
                nodes
            }
            _ => vec![self.node()],
        }
    }

    fn one_of(&mut self, count: usize, percent: u64) -> Option<usize> {
        let index = self.index(count);
        self.chance(percent).then_some(index)
    }

    fn scope(&mut self) -> Scope {
        let (mut first, mut second) = (true, true);
        match self.index(4) {
            0 => first = false,
            1 => second = false,
            _ => {}
        }
        match self.index(8) {
            0 => Scope::Machines(self.nodes()),
            1 => Scope::Domain(self.index(DOMAINS)),
            2 => Scope::Callers {
                gateway: self.index(GATEWAYS),
                to_gateway: first,
                from_gateway: second,
            },
            _ => Scope::Links {
                gateway: self.one_of(GATEWAYS, 80),
                runner: self.one_of(RUNNERS, 60),
                to_runner: first,
                from_runner: second,
            },
        }
    }

    fn kind(&mut self) -> FaultKind {
        let off_us = match self.chance(30) {
            true => self.between(0, 20) * MS,
            false => self.between(0, 1_500) * MS,
        };
        let instance = self.index(RUNNERS);
        match self.index(20) {
            0..=2 => FaultKind::Pause {
                nodes: self.nodes(),
                for_us: self.length_us(50, 4_000),
                is_machine: self.chance(50),
            },
            3..=4 => FaultKind::Kill {
                nodes: self.nodes(),
                off_us,
            },
            5..=6 => FaultKind::PowerLoss {
                nodes: self.nodes(),
                off_us,
            },
            7..=9 => FaultKind::Cut {
                scope: self.scope(),
                for_us: self.length_us(50, 4_000),
            },
            10 => FaultKind::Delay {
                scope: self.scope(),
                delay_us: self.length_us(5, 700),
                for_us: self.length_us(100, 3_000),
            },
            11 => FaultKind::Reset {
                gateway: self.one_of(GATEWAYS, 80),
                runner: self.one_of(RUNNERS, 50),
            },
            12 => FaultKind::Silence {
                gateway: self.one_of(GATEWAYS, 80),
                runner: self.one_of(RUNNERS, 50),
            },
            13..=15 => FaultKind::InstanceCrash {
                instance,
                is_dark: self.chance(40),
                off_us: self.length_us(5, 4_000),
            },
            16 => FaultKind::Drain {
                instance,
                for_us: self.length_us(2_000, 10_000),
                off_us: self.length_us(5, 4_000),
            },
            17..=18 => FaultKind::Calls {
                instance,
                disturbance: match self.index(4) {
                    0 => Disturbance::Unanswered {
                        per_mille: self.between(100, 1_000),
                    },
                    1 => Disturbance::Late {
                        per_mille: self.between(100, 1_000),
                    },
                    2 => Disturbance::SlowAnswers {
                        up_to_us: self.length_us(5, 300),
                    },
                    _ => Disturbance::SlowCalls {
                        up_to_us: self.length_us(5, 300),
                    },
                },
                for_us: self.length_us(50, 3_000),
            },
            _ => {
                let count = self.between(1, 4);
                FaultKind::Agents {
                    gateway: self.index(GATEWAYS),
                    missing: (0..count).map(|_| self.index(RUNNERS)).collect(),
                    for_us: self.length_us(100, 3_300),
                }
            }
        }
    }

    /// A silent loss of gateways, and one of runners within the time in which they wait for them.
    fn related_losses(&mut self) -> Vec<Fault> {
        let at_us = START_US + WARM_UP_US + self.between(0, FAULTS_US - 1_000 * MS);
        let index = self.index(GATEWAYS);
        let gateways = (0..GATEWAYS).filter(|other| *other != index);
        let gateways: Vec<Node> = gateways.map(Node::Gateway).collect();
        let for_us = self.length_us(500, 4_000);
        let first = match self.index(3) {
            0 => FaultKind::PowerLoss {
                nodes: gateways,
                off_us: for_us.min(1_500 * MS),
            },
            1 => FaultKind::Pause {
                nodes: gateways,
                for_us,
                is_machine: true,
            },
            _ => FaultKind::Cut {
                scope: Scope::Machines(gateways),
                for_us,
            },
        };
        let count = self.between(1, RUNNERS as u64 - 2) as usize;
        let nodes: Vec<Node> = (0..count).map(Node::Runner).collect();
        let off_us = self.between(0, 1_500) * MS;
        let second = match self.index(3) {
            0 => FaultKind::PowerLoss { nodes, off_us },
            1 => FaultKind::Kill { nodes, off_us },
            _ => FaultKind::Pause {
                nodes,
                for_us: self.length_us(200, 4_000),
                is_machine: self.chance(50),
            },
        };
        let second_at_us = at_us + self.between(50, 1_000) * MS;
        let fault = |at_us, kind| Fault { at_us, kind };
        vec![fault(at_us, first), fault(second_at_us, second)]
    }

    fn faults(&mut self) -> Vec<Fault> {
        if self.chance(15) {
            return self.related_losses();
        }
        let count = match self.index(3) {
            0 => 1,
            1 => self.between(2, 4),
            _ => self.between(3, 10),
        };
        let first_us = START_US + WARM_UP_US;
        let span_us = match self.chance(40) {
            true => self.length_us(50, 2_000),
            false => FAULTS_US,
        };
        let from_us = first_us + self.between(0, FAULTS_US - span_us);
        let mut faults: Vec<Fault> = Vec::new();
        for _ in 0..count {
            let repeated = faults.last().filter(|_| self.0.random_range(0..4) == 0);
            let kind = match repeated.map(|fault| fault.kind.clone()) {
                Some(kind) => kind,
                None => self.kind(),
            };
            let at_us = from_us + self.between(0, span_us);
            faults.push(Fault { at_us, kind });
        }
        faults.sort_by_key(|fault| fault.at_us);
        faults
    }
}

impl Schedule {
    /// Draws a schedule.
    pub(crate) fn draw(seed: u64) -> Self {
        let mut draw = Draw(Pcg64Mcg::seed_from_u64(seed));
        let faults = draw.faults();
        Self {
            seed,
            load_percent: draw.between(50, 130),
            kinds: match draw.index(3) {
                0 => [1, 1, 1],
                1 => [1, 4, 1],
                _ => [0, 1, 0],
            },
            early_resets_per_mille: match draw.chance(50) {
                true => 20,
                false => 0,
            },
            ..Self::of(seed, faults)
        }
    }

    /// A schedule with these faults.
    pub(crate) fn of(seed: u64, faults: Vec<Fault>) -> Self {
        let end_us = START_US + WARM_UP_US + FAULTS_US + COOL_DOWN_US;
        Self {
            seed,
            load_percent: 80,
            kinds: [1, 4, 1],
            early_resets_per_mille: 0,
            jobs_from_us: START_US + 500 * MS,
            jobs_until_us: end_us - 2_000 * MS,
            end_us,
            faults,
        }
    }
}
