//! Operators' calls: forwarding them to the leader, and executing them as the leader.

use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::KeeperReply;
use serde_json::{Value, json};

use super::KeeperCore;
use super::batch::Waiter;
use super::event::{KeeperAction, OperatorCall, ReplyToken};
use super::operator::{self, KeeperChange, OperatorChange, OperatorRead, OperatorRequest};
use crate::command::CommandItem;

/// Maximum time that an operator waits for a change to be in force. It is longer than
/// [`CONFIG_LEASE`](super::CONFIG_LEASE), after which no entry uses an older configuration.
pub(super) const IN_FORCE_WAIT: DurationMs = DurationMs::new(15_000);
/// Time after which a call is refused if no leader has answered it. It is longer than an election.
const CALL_TIMEOUT: DurationMs = DurationMs::new(5_000);
/// Timeout of a call that waits until a change is in force, in place of [`CALL_TIMEOUT`].
const WAITING_CALL_TIMEOUT: DurationMs = DurationMs::new(20_000);
/// Delay before a call that reached no leader is retried.
const RETRY_DELAY: DurationMs = DurationMs::new(50);

/// Pending operator call that this keeper received.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    call: OperatorCall,
    until: Instant,
    progress: CallProgress,
}

/// Progress of a pending call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallProgress {
    /// Executed or forwarded at this time.
    Due(Instant),
    /// Being executed here or by the leader.
    InProgress,
    /// Already refused after its timeout, but still being executed. Its reply is dropped.
    TimedOut,
}

impl KeeperCore {
    /// Accepts an operator's call to this keeper. An invalid call is refused immediately, even
    /// without a leader.
    pub(super) fn accept_call(
        &mut self,
        now: Instant,
        token: ReplyToken,
        call: OperatorCall,
        out: &mut Vec<KeeperAction>,
    ) {
        let timeout = match OperatorRequest::parse(&call) {
            _ if is_status(&call) => CALL_TIMEOUT,
            Ok(request) if request.waits_in_force() => WAITING_CALL_TIMEOUT,
            Ok(_) => CALL_TIMEOUT,
            Err(refusal) => return self.reply(now, token, *refusal, out),
        };
        let progress = CallProgress::Due(now);
        let until = now + timeout;
        self.calls.insert(
            token,
            PendingCall {
                call,
                until,
                progress,
            },
        );
    }

    /// Handles the leader's reply to a forwarded call.
    pub(super) fn finish_forward(
        &mut self,
        now: Instant,
        token: ReplyToken,
        reply: Option<KeeperReply>,
        out: &mut Vec<KeeperAction>,
    ) {
        let reply = reply.unwrap_or(KeeperReply::Unavailable);
        self.reply(now, token, reply, out);
    }

    /// Replies to a request or call. An operator's call that reached no leader is retried instead,
    /// which is safe because all changes are idempotent.
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
            Some(call) if call.progress == CallProgress::TimedOut => {
                self.calls.remove(&token);
            }
            Some(call) if retry => call.progress = CallProgress::Due(now + RETRY_DELAY),
            Some(_) => {
                self.calls.remove(&token);
                out.push(KeeperAction::Reply { token, reply });
            }
            None => out.push(KeeperAction::Reply { token, reply }),
        }
    }

    /// Executes or forwards all calls that are due, and refuses those that have timed out.
    pub(super) fn route_calls(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        let mut inputs = Vec::new();
        for (token, call) in self.start_due_calls(now) {
            self.route_call(now, token, call, &mut inputs, out);
        }
        self.refuse_expired_calls(now, out);
        self.propose_batches(now, &mut inputs, out);
        self.run_quorum(now, inputs, out);
    }

    fn refuse_expired_calls(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        self.calls.retain(|token, call| {
            if call.until > now || call.progress == CallProgress::TimedOut {
                return true;
            }
            let (token, reply) = (*token, operator::no_quorum());
            out.push(KeeperAction::Reply { token, reply });
            let in_progress = call.progress == CallProgress::InProgress;
            call.progress = CallProgress::TimedOut;
            in_progress
        });
    }

    fn start_due_calls(&mut self, now: Instant) -> Vec<(ReplyToken, OperatorCall)> {
        let mut due: Vec<_> = self
            .calls
            .iter_mut()
            .filter(|(_, call)| matches!(call.progress, CallProgress::Due(at) if at <= now))
            .map(|(token, call)| {
                call.progress = CallProgress::InProgress;
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
                let status = operator::ok(&self.status_json(now));
                self.reply(now, token, status, out);
            }
            _ if self.leader_state.is_some() => self.run_call(now, token, &call, inputs, out),
            Some(to) if to != self.keeper_id => out.push(KeeperAction::Forward { token, to, call }),
            _ => self.reply(now, token, KeeperReply::Unavailable, out),
        }
    }

    /// Executes a call as the leader.
    pub(super) fn run_call(
        &mut self,
        now: Instant,
        token: ReplyToken,
        call: &OperatorCall,
        inputs: &mut Vec<Event>,
        out: &mut Vec<KeeperAction>,
    ) {
        match OperatorRequest::parse(call) {
            Ok(OperatorRequest::Change { item, change }) => {
                self.batches
                    .add_alone(Waiter::Operator(token, change), item);
            }
            Ok(OperatorRequest::Read(_)) if !self.has_lease(now) => {
                self.reply(now, token, KeeperReply::Unavailable, out);
            }
            Ok(OperatorRequest::Read(read)) => {
                let answer = self.run_read(&read);
                self.reply(now, token, answer, out);
            }
            Ok(OperatorRequest::Keepers(change)) => {
                self.propose_keeper_change(token, change, inputs);
            }
            Err(refusal) => self.reply(now, token, *refusal, out),
        }
    }

    fn run_read(&self, read: &OperatorRead) -> KeeperReply {
        let config = self.state.config();
        match read {
            OperatorRead::Contracts => {
                let all: Vec<_> = config.contracts().collect();
                operator::ok(&json!({"version": config.version(), "contracts": all}))
            }
            OperatorRead::Contract(customer) => match config.contract(customer) {
                Some((contract, version)) => {
                    operator::ok(&json!({"version": version, "contract": contract}))
                }
                None => operator::not_found("contract"),
            },
            OperatorRead::Stops => {
                let all: Vec<Value> = config
                    .stops()
                    .map(|(stop, version)| json!({"stop": stop, "version": version}))
                    .collect();
                operator::ok(&json!({"stops": all}))
            }
            OperatorRead::Endpoints => operator::ok(&json!({"endpoints": self.endpoints_json()})),
        }
    }

    fn endpoints_json(&self) -> Vec<Value> {
        let Some(leader) = &self.leader_state else {
            return Vec::new();
        };
        leader
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

    fn propose_keeper_change(
        &mut self,
        token: ReplyToken,
        change: KeeperChange,
        inputs: &mut Vec<Event>,
    ) {
        let (member_change, echo) = match change {
            KeeperChange::Add(keeper) => {
                let item = CommandItem::KeeperAddress {
                    id: keeper.id,
                    address: keeper.address,
                };
                self.batches.add(Waiter::Nobody, [item]);
                (MemberChange::Add(KeeperId(keeper.id)), json!(keeper))
            }
            KeeperChange::Remove(id) => (MemberChange::Remove(KeeperId(id)), json!({"id": id})),
        };
        let change = OperatorChange {
            echo,
            wait_in_force: false,
        };
        let event = self.propose_member_change(member_change, Waiter::Operator(token, change));
        inputs.push(event);
    }

    /// Returns the status of this keeper as JSON. It is a local view and needs no quorum.
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
            "keeper": self.keeper_id,
            "leading": self.leader_state.is_some(),
            "has_lease": self.has_lease(now),
            "term": status.term,
            "leader": status.leader,
            "commit": status.commit,
            "applied": self.applied_index,
            "last": status.last,
            "snapshot": status.snapshot,
            "members": members,
            "followers": followers,
            "config_version": self.state.config().version(),
            "contracts": self.state.config().contracts().count(),
            "entries": self.state.entries().len(),
            "endpoints": self.leader_state.as_ref().map(|leader| leader.directory.len()),
            "submissions": self.state.ledger().len(),
            "answer_bytes": self.state.ledger().answer_bytes(),
        })
    }
}

fn is_status(call: &OperatorCall) -> bool {
    let path = call.path.split('?').next().unwrap_or("");
    call.method == "GET" && path == "/v1/status"
}
