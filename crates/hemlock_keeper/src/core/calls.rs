//! Operators' calls at this keeper: passing them to the leader, and running them as the leader.

use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::KeeperReply;
use serde_json::{Value, json};

use super::KeeperCore;
use super::batch::Waiter;
use super::event::{KeeperAction, OperatorCall, ReplyToken};
use super::operator::{self, KeeperChange, OperatorChange, OperatorRead, OperatorRequest};
use crate::command::CommandItem;

/// How long an operator waits at most until a change is in force: longer than any entry can hold
/// an older configuration.
pub(super) const IN_FORCE_WAIT: DurationMs = DurationMs::new(15_000);
/// How long a call is passed on before it is refused: longer than an election.
const CALL_TIMEOUT: DurationMs = DurationMs::new(5_000);
/// The same for a call that waits until a change is in force.
const WAITING_CALL_TIMEOUT: DurationMs = DurationMs::new(20_000);
/// Pause before a call that met no leader is tried again.
const RETRY: DurationMs = DurationMs::new(50);

/// A call that came to this keeper, until it is answered.
#[derive(Clone, Debug)]
pub(super) struct EdgeCall {
    call: OperatorCall,
    until: Instant,
    step: CallStep,
}

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallStep {
    /// It is to be run or passed on at this time.
    Due(Instant),
    /// It is under way, here or at the leader.
    UnderWay,
    /// It took too long and was refused, but is still under way.
    Refused,
}

impl KeeperCore {
    /// Takes a call that came to this keeper. One that can't be understood is refused at once,
    /// whether or not there is a leader.
    pub(super) fn take_call(
        &mut self,
        now: Instant,
        token: ReplyToken,
        call: OperatorCall,
        out: &mut Vec<KeeperAction>,
    ) {
        let timeout = match OperatorRequest::read(&call) {
            _ if is_status(&call) => CALL_TIMEOUT,
            Ok(request) if request.waits_in_force() => WAITING_CALL_TIMEOUT,
            Ok(_) => CALL_TIMEOUT,
            Err(refusal) => return self.reply(now, token, *refusal, out),
        };
        let step = CallStep::Due(now);
        let until = now + timeout;
        self.calls.insert(token, EdgeCall { call, until, step });
    }

    /// Takes the leader's answer to a call that was passed on.
    pub(super) fn take_forwarded(
        &mut self,
        now: Instant,
        token: ReplyToken,
        reply: Option<KeeperReply>,
        out: &mut Vec<KeeperAction>,
    ) {
        let reply = reply.unwrap_or(KeeperReply::Unavailable);
        self.reply(now, token, reply, out);
    }

    /// Answers a request. A call of this keeper that met no leader is tried again instead, which
    /// is safe because every change can be sent twice.
    pub(super) fn reply(
        &mut self,
        now: Instant,
        token: ReplyToken,
        reply: KeeperReply,
        out: &mut Vec<KeeperAction>,
    ) {
        let retry = matches!(
            reply,
            KeeperReply::NotLeader { .. } | KeeperReply::Unavailable
        );
        match self.calls.get_mut(&token) {
            Some(call) if call.step == CallStep::Refused => {
                self.calls.remove(&token);
            }
            Some(call) if retry => call.step = CallStep::Due(now + RETRY),
            Some(_) => {
                self.calls.remove(&token);
                out.push(KeeperAction::Reply { token, reply });
            }
            None => out.push(KeeperAction::Reply { token, reply }),
        }
    }

    /// Runs or passes on every call that is due, and refuses those that waited too long.
    pub(super) fn route_calls(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        let mut inputs = Vec::new();
        for (token, call) in self.take_due_calls(now) {
            self.route_call(now, token, call, &mut inputs, out);
        }
        self.refuse_overdue(now, out);
        self.propose_batches(now, &mut inputs, out);
        self.run_quorum(now, inputs, out);
    }

    fn refuse_overdue(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        self.calls.retain(|token, call| {
            if call.until > now || call.step == CallStep::Refused {
                return true;
            }
            let (token, reply) = (*token, operator::no_quorum());
            out.push(KeeperAction::Reply { token, reply });
            let under_way = call.step == CallStep::UnderWay;
            call.step = CallStep::Refused;
            under_way
        });
    }

    fn take_due_calls(&mut self, now: Instant) -> Vec<(ReplyToken, OperatorCall)> {
        let mut due: Vec<_> = self
            .calls
            .iter_mut()
            .filter(|(_, call)| matches!(call.step, CallStep::Due(at) if at <= now))
            .map(|(token, call)| {
                call.step = CallStep::UnderWay;
                (*token, call.call.clone())
            })
            .collect();
        due.sort_by_key(|(token, _)| *token);
        due
    }

    fn route_call(
        &mut self,
        now: Instant,
        token: ReplyToken,
        call: OperatorCall,
        inputs: &mut Vec<Event>,
        out: &mut Vec<KeeperAction>,
    ) {
        let leader = self.quorum.status().leader;
        match leader {
            _ if is_status(&call) => {
                let status = operator::found(&self.status_json(now));
                self.reply(now, token, status, out);
            }
            _ if self.leading.is_some() => self.run_call(now, token, &call, inputs, out),
            Some(to) if to != self.me => out.push(KeeperAction::Forward { token, to, call }),
            _ => self.reply(now, token, KeeperReply::Unavailable, out),
        }
    }

    /// Runs a call as the leader.
    pub(super) fn run_call(
        &mut self,
        now: Instant,
        token: ReplyToken,
        call: &OperatorCall,
        inputs: &mut Vec<Event>,
        out: &mut Vec<KeeperAction>,
    ) {
        match OperatorRequest::read(call) {
            Ok(OperatorRequest::Change { item, change }) => {
                self.batches
                    .add_alone(Waiter::Operator(token, change), item);
            }
            Ok(OperatorRequest::Read(_)) if !self.has_lease(now) => {
                self.reply(now, token, KeeperReply::Unavailable, out);
            }
            Ok(OperatorRequest::Read(read)) => {
                let answer = self.read(&read);
                self.reply(now, token, answer, out);
            }
            Ok(OperatorRequest::Keepers(change)) => {
                self.change_keepers(token, change, inputs);
            }
            Err(refusal) => self.reply(now, token, *refusal, out),
        }
    }

    fn read(&self, read: &OperatorRead) -> KeeperReply {
        let config = self.state.config();
        match read {
            OperatorRead::Contracts => {
                let all: Vec<_> = config.contracts().collect();
                operator::found(&json!({"version": config.version(), "contracts": all}))
            }
            OperatorRead::Contract(customer) => match config.contract(customer) {
                Some((contract, version)) => {
                    operator::found(&json!({"version": version, "contract": contract}))
                }
                None => operator::not_found("contract"),
            },
            OperatorRead::Stops => {
                let all: Vec<Value> = config
                    .stops()
                    .map(|(stop, version)| json!({"stop": stop, "version": version}))
                    .collect();
                operator::found(&json!({"stops": all}))
            }
            OperatorRead::Endpoints => {
                operator::found(&json!({"endpoints": self.endpoints_json()}))
            }
        }
    }

    fn endpoints_json(&self) -> Vec<Value> {
        let Some(leading) = &self.leading else {
            return Vec::new();
        };
        leading
            .directory
            .endpoints()
            .into_iter()
            .map(|(endpoint, running)| {
                json!({
                    "agent": endpoint.agent.to_string(),
                    "service": endpoint.service,
                    "slots": endpoint.slots,
                    "connections": endpoint.connections,
                    "address": endpoint.address,
                    "domain": endpoint.domain,
                    "rack": endpoint.rack,
                    "cores": endpoint.cores,
                    "memory_mb": endpoint.memory_mb,
                    "state": endpoint.state.to_string(),
                    "running": running,
                })
            })
            .collect()
    }

    fn change_keepers(&mut self, token: ReplyToken, change: KeeperChange, inputs: &mut Vec<Event>) {
        let (member_change, echo) = match change {
            KeeperChange::Add(keeper) => {
                let item = CommandItem::KeeperAddress {
                    id: keeper.id,
                    address: keeper.address,
                };
                self.batches.add(Waiter::Noted, [item]);
                (MemberChange::Add(KeeperId(keeper.id)), json!(keeper))
            }
            KeeperChange::Remove(id) => (MemberChange::Remove(KeeperId(id)), json!({"id": id})),
        };
        let change = OperatorChange {
            echo,
            wait_in_force: false,
        };
        let event = self.propose_members(member_change, Waiter::Operator(token, change));
        inputs.push(event);
    }

    /// This keeper's own view, which needs no quorum.
    fn status_json(&self, now: Instant) -> Value {
        let status = self.quorum.status();
        let members: Vec<Value> = status
            .members
            .iter()
            .map(|(id, member)| {
                let kind = format!("{:?}", member.kind).to_lowercase();
                json!({"id": id, "incarnation": member.incarnation.to_string(), "kind": kind})
            })
            .collect();
        let followers: Vec<Value> = status
            .followers
            .iter()
            .map(|follower| {
                let lag = status.last.since(follower.matched);
                json!({"id": follower.id, "lag_entries": lag, "in_snapshot": follower.in_snapshot})
            })
            .collect();
        json!({
            "keeper": self.me,
            "leading": self.leading.is_some(),
            "has_lease": self.has_lease(now),
            "term": status.term,
            "leader": status.leader,
            "commit": status.commit,
            "applied": self.applied,
            "last": status.last,
            "snapshot": status.snapshot,
            "members": members,
            "followers": followers,
            "config_version": self.state.config().version(),
            "contracts": self.state.config().contracts().count(),
            "entries": self.state.entries().len(),
            "endpoints": self.leading.as_ref().map(|leading| leading.directory.len()),
            "submissions": self.state.ledger().len(),
            "answer_bytes": self.state.ledger().answer_bytes(),
        })
    }
}

fn is_status(call: &OperatorCall) -> bool {
    let path = call.path.split('?').next().unwrap_or("");
    call.method == "GET" && path == "/v1/status"
}
