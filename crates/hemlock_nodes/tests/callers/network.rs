//! Simulated connections. A segment that is lost is repeated at intervals that double, so a message
//! that was sent during an interruption arrives up to as long again after it.

use std::collections::HashMap;

use hemlock_nodes::message::{RunnerReply, RunnerRequest, RunnerUpdate};
use rand::RngExt;

use super::gateways::GatewayEvent;
use super::runners::RunnerEvent;
use super::schedule::{FaultKind, Schedule};
use super::{Action, GATEWAYS, MS, Node, RUNNERS, Simulation, Target};

/// First interval after which a lost segment is repeated.
const FIRST_RETRANSMISSION: u64 = 200 * MS;
/// The same for the first segment of a connection.
const FIRST_CONNECT_RETRANSMISSION: u64 = 1_000 * MS;

/// Time after the arrival of a segment at which the next one arrives that waited for it.
const ROUND_TRIP: u64 = 1_500;
/// Longest time that a segment is usually on its way. One that takes longer is being repeated.
const MAX_ROUND_TRIP: u64 = 5 * MS;

/// A direction between two machines, as seen by a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Path {
    ToRunner(usize, usize),
    FromRunner(usize, usize),
    FromCallers(usize),
    ToCallers(usize),
}

impl Path {
    fn index(self) -> usize {
        match self {
            Self::ToRunner(gateway, runner) => gateway * RUNNERS + runner,
            Self::FromRunner(gateway, runner) => GATEWAYS * RUNNERS + gateway * RUNNERS + runner,
            Self::FromCallers(gateway) => 2 * GATEWAYS * RUNNERS + gateway,
            Self::ToCallers(gateway) => 2 * GATEWAYS * RUNNERS + GATEWAYS + gateway,
        }
    }

    fn all() -> impl Iterator<Item = Self> {
        let runner_paths = (0..GATEWAYS).flat_map(|gateway| {
            let both = move |runner| {
                [
                    Self::ToRunner(gateway, runner),
                    Self::FromRunner(gateway, runner),
                ]
            };
            (0..RUNNERS).flat_map(both)
        });
        let caller_paths = (0..GATEWAYS)
            .flat_map(|gateway| [Self::FromCallers(gateway), Self::ToCallers(gateway)]);
        runner_paths.chain(caller_paths)
    }
}

#[derive(Clone, Copy)]
struct Window {
    from: u64,
    to: u64,
    /// Longest extra delay; `None` if nothing passes.
    delay_us: Option<u64>,
}

/// When which path is interrupted, and when the last message of each channel arrives.
pub(super) struct Network {
    windows: Vec<Vec<Window>>,
    last_delivery: HashMap<u64, u64>,
}

impl Network {
    pub(super) fn new(schedule: &Schedule) -> Self {
        let mut windows = vec![Vec::new(); 2 * GATEWAYS * RUNNERS + 2 * GATEWAYS];
        for fault in &schedule.faults {
            let (scope, delay_us, for_us) = match &fault.kind {
                FaultKind::Cut { scope, for_us } => (scope.clone(), None, *for_us),
                FaultKind::Delay {
                    scope,
                    delay_us,
                    for_us,
                } => (scope.clone(), Some(*delay_us), *for_us),
                FaultKind::Pause {
                    nodes,
                    for_us,
                    is_machine: true,
                } => (schedule_scope(nodes), None, *for_us),
                _ => continue,
            };
            for path in Path::all().filter(|path| scope.contains(*path)) {
                windows[path.index()].push(Window {
                    from: fault.at_us,
                    to: fault.at_us + for_us,
                    delay_us,
                });
            }
        }
        Self {
            windows,
            last_delivery: HashMap::new(),
        }
    }

    pub(super) fn note_delivery(&mut self, channel: u64, at: u64) {
        let last = self.last_delivery.entry(channel).or_default();
        *last = at.max(*last);
    }

    fn is_cut(&self, path: Path, at: u64) -> bool {
        let mut windows = self.windows[path.index()].iter();
        windows.any(|w| w.delay_us.is_none() && (w.from..w.to).contains(&at))
    }

    fn longest_delay(&self, path: Path, at: u64) -> u64 {
        let windows = self.windows[path.index()].iter();
        let open = windows.filter(|w| (w.from..w.to).contains(&at));
        open.filter_map(|w| w.delay_us).max().unwrap_or(0)
    }

    /// Time at which a segment that is sent now, and repeated, first gets through after `not_before`.
    fn passes_at(&self, path: Path, now_us: u64, not_before: u64, first_us: u64) -> u64 {
        let mut at = now_us;
        let mut interval = first_us;
        while at < not_before || self.is_cut(path, at) {
            at += interval;
            interval *= 2;
        }
        at
    }

    /// Time at which a segment arrives that would arrive at `alone_at` if the connection were idle.
    /// Segments behind one that is being repeated are sent when that one is acknowledged.
    fn arrives_at(&self, path: Path, channel: u64, now_us: u64, alone_at: u64) -> u64 {
        match self.last_delivery.get(&channel).copied() {
            Some(last) if last > now_us + MAX_ROUND_TRIP => {
                let sent_at = last + ROUND_TRIP;
                self.passes_at(path, sent_at, 0, FIRST_RETRANSMISSION)
            }
            Some(last) => alone_at.max(last + 1),
            None => alone_at,
        }
    }
}

fn schedule_scope(nodes: &[Node]) -> super::schedule::Scope {
    super::schedule::Scope::Machines(nodes.to_vec())
}

/// How the process at one side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Gone {
    /// The peer was told.
    Killed,
    /// The peer is told after the machine is powered, if it sends something.
    Unpowered,
}

/// A connection between a gateway and a runner.
pub(super) struct Connection {
    pub(super) gateway: usize,
    pub(super) gateway_process: u64,
    pub(super) runner: usize,
    pub(super) runner_process: u64,
    /// Nothing passes any more, and neither side is told.
    is_silent: bool,
    gateway_gone: Option<Gone>,
    runner_gone: Option<Gone>,
    pub(super) closed_by_gateway: bool,
    pub(super) closed_by_runner: bool,
}

/// A message between a gateway and a runner.
#[derive(Clone)]
pub(super) enum Message {
    Hello,
    Challenge,
    Open,
    Welcome,
    Request(u64, Box<RunnerRequest>),
    Reply(u64, Box<RunnerReply>),
    Update(u64, Box<RunnerUpdate>),
    Updated(u64),
    Closed,
}

impl Simulation {
    /// Opens a connection, whose first message is on its way. It is not established before the runner
    /// has answered.
    pub(super) fn connect(&mut self, gateway: usize, runner: usize) -> u64 {
        let id = self.next_number();
        let process = &self.processes[&Node::Runner(runner)];
        let (runner_process, is_up) = (process.id, process.is_up);
        let powered_at = process.powered_at;
        self.connections.insert(
            id,
            Connection {
                gateway,
                gateway_process: self.processes[&Node::Gateway(gateway)].id,
                runner,
                runner_process,
                is_silent: false,
                gateway_gone: None,
                runner_gone: None,
                closed_by_gateway: false,
                closed_by_runner: false,
            },
        );
        if is_up {
            self.send_first(id);
        } else if powered_at <= self.now_us {
            // The machine refuses the connection.
            let at = self.now_us + 2 * MS;
            let closed = GatewayEvent::Message(id, Message::Closed);
            self.push_to(Node::Gateway(gateway), at, Action::Gateway(closed));
        }
        id
    }

    fn send_first(&mut self, id: u64) {
        let (gateway, runner) = (self.connections[&id].gateway, self.connections[&id].runner);
        let path = Path::ToRunner(gateway, runner);
        let first_us = FIRST_CONNECT_RETRANSMISSION;
        let at = self.network.passes_at(path, self.now_us, 0, first_us);
        self.transmit(id, path, at, Message::Hello);
    }

    pub(super) fn send_to_runner(&mut self, id: u64, message: Message) {
        self.send(id, true, message);
    }

    pub(super) fn send_to_gateway(&mut self, id: u64, message: Message) {
        self.send(id, false, message);
    }

    fn send(&mut self, id: u64, to_runner: bool, message: Message) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (gateway, runner) = (connection.gateway, connection.runner);
        let (path, peer, peer_gone, closed) = match to_runner {
            true => (
                Path::ToRunner(gateway, runner),
                Node::Runner(runner),
                connection.runner_gone,
                connection.closed_by_gateway,
            ),
            false => (
                Path::FromRunner(gateway, runner),
                Node::Gateway(gateway),
                connection.gateway_gone,
                connection.closed_by_runner,
            ),
        };
        let is_close = matches!(message, Message::Closed);
        if connection.is_silent || (closed && !is_close) {
            return;
        }
        match peer_gone {
            None => {
                let at = self
                    .network
                    .passes_at(path, self.now_us, 0, FIRST_RETRANSMISSION);
                self.transmit(id, path, at, message);
            }
            Some(Gone::Killed) => {}
            Some(Gone::Unpowered) if is_close => {}
            Some(Gone::Unpowered) => {
                let powered_at = self.processes[&peer].powered_at;
                let now_us = self.now_us;
                let at = self
                    .network
                    .passes_at(path, now_us, powered_at, FIRST_RETRANSMISSION);
                let back = match to_runner {
                    true => Path::FromRunner(gateway, runner),
                    false => Path::ToRunner(gateway, runner),
                };
                self.transmit(id, back, at + MS, Message::Closed);
            }
        }
    }

    fn transmit(&mut self, id: u64, path: Path, sent_at: u64, message: Message) {
        let delay_us = self.network.longest_delay(path, sent_at);
        let delay_us = match delay_us {
            0 => self.rng.random_range(100..2_500),
            longest => self.rng.random_range(longest / 2..=longest) + 500,
        };
        let connection = &self.connections[&id];
        let (channel, target, action) = match path {
            Path::ToRunner(_, runner) => (
                id * 2,
                Target::Process(Node::Runner(runner), connection.runner_process),
                Action::Runner(RunnerEvent::Message(id, message)),
            ),
            Path::FromRunner(gateway, _) => (
                id * 2 + 1,
                Target::Process(Node::Gateway(gateway), connection.gateway_process),
                Action::Gateway(GatewayEvent::Message(id, message)),
            ),
            Path::FromCallers(_) | Path::ToCallers(_) => unreachable!("not a runner's connection"),
        };
        let at = self
            .network
            .arrives_at(path, channel, self.now_us, sent_at + delay_us);
        self.network.note_delivery(channel, at);
        self.push(at, target, Some(channel), action);
    }

    /// Time at which a message between a caller and a gateway arrives.
    pub(super) fn caller_arrival(&mut self, path: Path, channel: u64, is_first: bool) -> u64 {
        let first_us = match is_first {
            true => FIRST_CONNECT_RETRANSMISSION,
            false => FIRST_RETRANSMISSION,
        };
        let passes_at = self.network.passes_at(path, self.now_us, 0, first_us);
        let delay_us = self.network.longest_delay(path, passes_at);
        let at = passes_at + delay_us + self.rng.random_range(500..4_000);
        let at = self.network.arrives_at(path, channel, self.now_us, at);
        self.network.note_delivery(channel, at);
        at
    }

    pub(super) fn close_connections_of(&mut self, node: Node, gone: Gone) {
        let mut ids: Vec<u64> = self.connections.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let is_runner = match node {
                Node::Gateway(gateway) if connection.gateway == gateway => false,
                Node::Runner(runner) if connection.runner == runner => true,
                _ => continue,
            };
            let field = match is_runner {
                true => &mut connection.runner_gone,
                false => &mut connection.gateway_gone,
            };
            if field.is_some() {
                continue;
            }
            *field = Some(gone);
            if gone == Gone::Killed {
                self.send(id, !is_runner, Message::Closed);
            }
        }
        if let Node::Gateway(index) = node {
            self.break_callers(index, gone == Gone::Killed);
        }
    }

    fn connections_between(&self, gateway: Option<usize>, runner: Option<usize>) -> Vec<u64> {
        let chosen = self.connections.iter().filter(|(_, connection)| {
            gateway.is_none_or(|gateway| connection.gateway == gateway)
                && runner.is_none_or(|runner| connection.runner == runner)
        });
        let mut ids: Vec<u64> = chosen.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    pub(super) fn reset_connections(&mut self, gateway: Option<usize>, runner: Option<usize>) {
        for id in self.connections_between(gateway, runner) {
            self.send(id, true, Message::Closed);
            self.send(id, false, Message::Closed);
        }
    }

    pub(super) fn silence_connections(&mut self, gateway: Option<usize>, runner: Option<usize>) {
        for id in self.connections_between(gateway, runner) {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.is_silent = true;
            }
        }
    }
}
