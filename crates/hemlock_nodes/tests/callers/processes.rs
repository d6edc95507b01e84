//! Simulated processes: pauses, kills, losses of power and restarts.

use rand::RngExt;

use super::network::Gone;
use super::{Action, Event, MS, Node, Simulation, Target};

/// A process on its machine.
#[derive(Default)]
pub(super) struct Process {
    /// Differs for each process on the machine.
    pub(super) id: u64,
    pub(super) is_up: bool,
    pub(super) paused_until: u64,
    /// Time at which the machine is powered again.
    pub(super) powered_at: u64,
    /// Events that have arrived during a pause.
    pub(super) deferred: Vec<Event>,
}

impl Simulation {
    pub(super) fn start_process(&mut self, node: Node) -> u64 {
        let id = self.next_number();
        self.processes.insert(
            node,
            Process {
                id,
                is_up: true,
                ..Process::default()
            },
        );
        id
    }

    pub(super) fn pause(&mut self, node: Node, for_us: u64) {
        let until = self.now_us + for_us;
        let Some(process) = self.processes.get_mut(&node).filter(|p| p.is_up) else {
            return;
        };
        process.paused_until = process.paused_until.max(until);
        let at = process.paused_until;
        self.push(at, Target::World, None, Action::Wake(node));
    }

    /// Handles everything that has arrived in the pause, in a random order except within a channel.
    pub(super) fn wake(&mut self, node: Node) {
        let now_us = self.now_us;
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        if !process.is_up || process.paused_until > now_us {
            return;
        }
        let mut events = std::mem::take(&mut process.deferred);
        let slots: Vec<Option<u64>> = {
            let mut channels: Vec<Option<u64>> = events.iter().map(|e| e.channel).collect();
            for index in (1..channels.len()).rev() {
                channels.swap(index, self.rng.random_range(0..=index));
            }
            channels
        };
        let mut at = now_us;
        for channel in slots {
            let Some(position) = events.iter().position(|e| e.channel == channel) else {
                continue;
            };
            let event = match channel {
                Some(_) => events.remove(position),
                // Timers of one process have no order.
                None => {
                    let timers = events.iter().enumerate();
                    let timers: Vec<usize> = timers
                        .filter(|(_, e)| e.channel.is_none())
                        .map(|(index, _)| index)
                        .collect();
                    events.remove(timers[self.rng.random_range(0..timers.len())])
                }
            };
            at += self.rng.random_range(0..20);
            if let Some(channel) = channel {
                self.network.note_delivery(channel, at);
            }
            self.push(at, event.target, channel, event.action);
        }
    }

    /// Ends a process. Its peers see their connections close.
    pub(super) fn kill(&mut self, node: Node, off_us: u64) {
        if self.end_process(node) {
            self.close_connections_of(node, Gone::Killed);
            self.push(
                self.now_us + off_us,
                Target::World,
                None,
                Action::Restart(node),
            );
        }
    }

    /// Ends a process without a sign to its peers.
    pub(super) fn cut_power(&mut self, node: Node, off_us: u64) {
        let powered_at = self.now_us + off_us;
        if self.end_process(node) {
            self.close_connections_of(node, Gone::Unpowered);
            let boot_us = self.between(0, 50 * MS);
            self.push(
                powered_at + boot_us,
                Target::World,
                None,
                Action::Restart(node),
            );
        }
        if let Some(process) = self.processes.get_mut(&node) {
            process.powered_at = process.powered_at.max(powered_at);
        }
    }

    fn end_process(&mut self, node: Node) -> bool {
        let Some(process) = self.processes.get_mut(&node).filter(|p| p.is_up) else {
            return false;
        };
        process.is_up = false;
        process.deferred.clear();
        self.note_process(node, "ends");
        true
    }

    pub(super) fn restart(&mut self, node: Node) {
        let process = &self.processes[&node];
        if process.is_up {
            return;
        }
        if process.powered_at > self.now_us {
            let at = process.powered_at;
            self.push(at, Target::World, None, Action::Restart(node));
            return;
        }
        match node {
            Node::Gateway(index) => self.restart_gateway(index),
            Node::Runner(index) => self.restart_runner(index),
        }
        self.note_process(node, "starts");
    }
}
