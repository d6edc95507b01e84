//! Simulated connections between gateways and runners, and the handling of their messages.

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use rand::RngExt;

use super::{Link, Message, Simulation};

impl Simulation {
    /// Queues a message with a random delay, or drops it if there is no connection.
    pub(super) fn send(&mut self, key: (u64, u64), to_runner: bool, message: Message) {
        let at_ms = self.now_ms + self.rng.random_range(1..12);
        if let Some(link) = self.links.get_mut(&key).filter(|link| link.open) {
            let queue = match to_runner {
                true => &mut link.to_runner,
                false => &mut link.to_gateway,
            };
            queue.push((at_ms, message));
        }
    }

    /// Opens a missing connection sometimes, closes one whose runner is silent, and delivers the
    /// messages that are due.
    pub(super) fn step_link(&mut self, gateway: u64, runner: u64) {
        let key = (gateway, runner);
        if !self.links.contains_key(&key) {
            if self.rng.random_bool(0.2) {
                self.connect(key);
            }
            return;
        }
        let last_heard_ms = self.gateways[gateway as usize].last_heard_ms.get(&runner);
        if last_heard_ms.is_some_and(|last_heard_ms| self.now_ms > last_heard_ms + 850) {
            self.disconnect(key);
            return;
        }
        let now_ms = self.now_ms;
        let Some(link) = self.links.get_mut(&key).filter(|link| !link.silent) else {
            return;
        };
        let arrived = |queue: &mut Vec<(u64, Message)>| {
            // A connection keeps the order of its messages, so a late message blocks those behind
            // it.
            let ready = queue
                .iter()
                .take_while(|(at_ms, _)| *at_ms <= now_ms)
                .count();
            queue.drain(..ready).map(|(_, message)| message).collect()
        };
        let to_runner: Vec<Message> = arrived(&mut link.to_runner);
        let to_gateway: Vec<Message> = arrived(&mut link.to_gateway);
        for message in to_runner {
            self.deliver_to_runner(key, message);
        }
        for message in to_gateway {
            self.deliver_to_gateway(key, message);
        }
    }

    /// Opens a connection and attaches the gateway with its claims.
    pub(super) fn connect(&mut self, key: (u64, u64)) {
        let now = self.now();
        let now_ms = self.now_ms;
        let gateway = &mut self.gateways[key.0 as usize];
        let agent = AgentId(key.1);
        let session = gateway.dispatcher.register(now, agent);
        gateway.sessions.insert(key.1, session);
        gateway.last_heard_ms.insert(key.1, now_ms);
        let claims = gateway.dispatcher.runs_of(agent).into_iter();
        let claims = claims
            .map(|(task, run, needs)| Claim { task, run, needs })
            .collect();
        let link = Link {
            open: true,
            ..Link::default()
        };
        self.links.insert(key, link);
        self.send(key, true, Message::Attach(session, claims));
    }

    pub(super) fn deliver_to_runner(&mut self, key: (u64, u64), message: Message) {
        let now = self.now();
        if !self.runners[key.1 as usize].runs.knows_runs() {
            // A real runner answers that the session is void, and the gateway attaches again later.
            self.disconnect(key);
            return;
        }
        let owner = Owner::Gateway(self.gateways[key.0 as usize].incarnation);
        let runs = &mut self.runners[key.1 as usize].runs;
        match message {
            Message::Attach(session, claims) => {
                let inventory = runs.attach(now, owner, session, &claims);
                let room = runs.load_report(now, owner);
                self.send(key, false, Message::Attached(session, inventory, room));
            }
            Message::Order(order) => {
                let session = order.session;
                let (calls, refused) = runs.handle_order(now, owner, order);
                let room = runs.load_report(now, owner);
                self.make_calls(key.1, calls);
                self.send(key, false, Message::Ordered(session, refused, room));
                self.report_outcomes(key.1);
            }
            Message::Ping(session) => {
                if runs.owner_heard(owner, session, now) {
                    let room = runs.load_report(now, owner);
                    self.send(key, false, Message::Pong(session, room));
                }
            }
            _ => unreachable!("gateways send only Attach, Order and Ping"),
        }
    }

    pub(super) fn deliver_to_gateway(&mut self, key: (u64, u64), message: Message) {
        let now = self.now();
        let now_ms = self.now_ms;
        let agent = AgentId(key.1);
        let gateway = &mut self.gateways[key.0 as usize];
        gateway.last_heard_ms.insert(key.1, now_ms);
        match message {
            Message::Attached(session, inventory, room) => {
                let adoption = gateway.dispatcher.adopt(now, agent, session, &inventory);
                let Some(adoption) = adoption else {
                    return;
                };
                gateway.dispatcher.load_reported(now, agent, session, room);
                for (report, verdict) in adoption.ends {
                    self.handle_end(key.0, report, verdict);
                }
                let order = Order {
                    agent,
                    session,
                    sequence: 0,
                    instance: None,
                    starts: Vec::new(),
                    stops: adoption.stops,
                };
                self.send(key, true, Message::Order(order));
            }
            Message::Ordered(session, refused, room) => {
                for start in refused {
                    gateway.dispatcher.start_refused(
                        now,
                        agent,
                        session,
                        start.task,
                        start.run,
                        start.reason,
                    );
                }
                gateway.dispatcher.load_reported(now, agent, session, room);
            }
            Message::Pong(session, room) => {
                gateway.dispatcher.confirm(now, agent, session);
                gateway.dispatcher.load_reported(now, agent, session, room);
            }
            Message::Outcomes(session, outcomes, room) => {
                for outcome in outcomes {
                    let gateway = &mut self.gateways[key.0 as usize];
                    match outcome {
                        RunOutcome::Ended(report, _) => {
                            let verdict =
                                gateway.dispatcher.report_end(now, agent, session, report);
                            if let Some(verdict) = verdict {
                                self.handle_end(key.0, report, verdict);
                            }
                        }
                        RunOutcome::Refused(start) => gateway.dispatcher.start_refused(
                            now,
                            agent,
                            session,
                            start.task,
                            start.run,
                            start.reason,
                        ),
                    }
                }
                let gateway = &mut self.gateways[key.0 as usize];
                gateway.dispatcher.load_reported(now, agent, session, room);
            }
            Message::Instance(session, instance, runs_lost) => {
                let dispatcher = &mut gateway.dispatcher;
                dispatcher.instance_changed(now, agent, session, instance, runs_lost);
            }
            _ => unreachable!("runners do not send Attach, Order or Ping"),
        }
    }
}
