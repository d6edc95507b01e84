//! Log of calls and their answers, which are checked against the starts at the agents.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use bytes::Bytes;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;

use super::gate::FakeGate;

struct Call {
    entry: Incarnation,
    submission: Option<SubmissionId>,
    bodies: Vec<Bytes>,
    answers: u32,
    cancels: bool,
    /// No task of the submission had started when the ledger was looked up.
    unstarted_at_lookup: bool,
}

/// Calls and their answers.
#[derive(Default)]
pub(crate) struct CallLog {
    calls: BTreeMap<CallId, Call>,
    submissions: Vec<(SubmissionId, Vec<Bytes>)>,
    results: HashMap<SubmissionId, Vec<Bytes>>,
    received_without_key: HashSet<Bytes>,
    dead: BTreeSet<Incarnation>,
    /// Number of calls answered with complete results; `failed` and `not_run` count the others.
    pub(crate) complete: u32,
    pub(crate) failed: u32,
    pub(crate) not_run: u32,
}

fn has_started(submission: Option<SubmissionId>, gates: &BTreeMap<Incarnation, FakeGate>) -> bool {
    let mut starts = gates.values().flat_map(|gate| gate.starts.iter());
    starts.any(|(id, _)| Some(*id) == submission)
}

fn task(body: &Bytes) -> TaskRequest {
    TaskRequest {
        operation: "reserve".into(),
        body: body.clone(),
        cores: 1,
        memory_mb: 1,
    }
}

impl CallLog {
    pub(crate) fn new_call(
        &mut self,
        entry: Incarnation,
        keyed: bool,
        tasks: usize,
        deadline_ms: u64,
    ) -> Submit {
        let number = self.calls.len() as u64 + 1;
        let body = |task: usize| Bytes::from(format!("call {number} task {task}"));
        let bodies: Vec<_> = (0..tasks).map(body).collect();
        let customer: CustomerName = "loovutusliit".into();
        let submission = keyed.then(|| SubmissionId::derive(&customer, &number.to_string()));
        if let Some(id) = submission {
            self.submissions.push((id, bodies.clone()));
        }
        self.submit(entry, submission, bodies, deadline_ms)
    }

    pub(crate) fn repeat_call(
        &mut self,
        entry: Incarnation,
        pick: u64,
        deadline_ms: u64,
    ) -> Option<Submit> {
        let recent = self.submissions.iter().rev().take(8);
        let recent: Vec<_> = recent.cloned().collect();
        let (id, bodies) = recent.get((pick % 8) as usize)?.clone();
        Some(self.submit(entry, Some(id), bodies, deadline_ms))
    }

    fn submit(
        &mut self,
        entry: Incarnation,
        submission: Option<SubmissionId>,
        bodies: Vec<Bytes>,
        deadline_ms: u64,
    ) -> Submit {
        let call = CallId(self.calls.len() as u64 + 1);
        let parts: Vec<&[u8]> = bodies.iter().map(Bytes::as_ref).collect();
        let digest = Digest::of_parts(&parts);
        let submit = Submit {
            call,
            customer: "loovutusliit".into(),
            service: "portaal".into(),
            submission: submission.map(|id| (id, digest)),
            tasks: bodies.iter().map(task).collect(),
            deadline_ms: Some(deadline_ms),
            traceparent: Bytes::new(),
            detached: false,
        };
        let record = Call {
            entry,
            submission,
            bodies,
            answers: 0,
            cancels: false,
            unstarted_at_lookup: false,
        };
        self.calls.insert(call, record);
        submit
    }

    pub(crate) fn new_cancel(
        &mut self,
        entry: Incarnation,
        pick: u64,
    ) -> Option<(CallId, SubmissionId)> {
        let recent: Vec<_> = self.submissions.iter().rev().take(4).collect();
        let (id, _) = recent.get((pick % 4) as usize)?;
        let id = *id;
        let call = CallId(self.calls.len() as u64 + 1);
        let record = Call {
            entry,
            submission: Some(id),
            bodies: Vec::new(),
            answers: 0,
            cancels: true,
            unstarted_at_lookup: false,
        };
        self.calls.insert(call, record);
        Some((call, id))
    }

    /// Records that a refused call looks its submission up in the ledger. Its answer "not run" is
    /// correct if no task had started by then: another call may start the submission between the
    /// ledger's answer and the caller's.
    pub(crate) fn looked_up(&mut self, call: CallId, gates: &BTreeMap<Incarnation, FakeGate>) {
        let record = self.calls.get_mut(&call).expect("the call is in the log");
        record.unstarted_at_lookup = !has_started(record.submission, gates);
    }

    pub(crate) fn sent(&mut self, spec: &TaskSpec) {
        assert_ne!(spec.request, RequestId(0));
    }

    pub(crate) fn received(&mut self, spec: &TaskSpec) {
        if spec.submission.is_none() {
            self.received_without_key.insert(spec.body.clone());
        }
    }

    pub(crate) fn answered(
        &mut self,
        call: CallId,
        result: &CallResult,
        gates: &BTreeMap<Incarnation, FakeGate>,
    ) {
        let record = self.calls.get_mut(&call).expect("the call is in the log");
        record.answers += 1;
        assert_eq!(record.answers, 1, "a call must be answered only once");
        if record.cancels {
            return;
        }
        match result {
            CallResult::Complete(answers) => {
                let bodies: Vec<_> = answers.iter().map(|answer| answer.body.clone()).collect();
                assert_eq!(
                    bodies, record.bodies,
                    "the answers must belong to the call and be complete"
                );
                if let Some(id) = record.submission {
                    self.results.insert(id, bodies);
                }
                self.complete += 1;
            }
            CallResult::NotRun(..) => {
                let started = has_started(record.submission, gates);
                assert!(
                    !started || record.unstarted_at_lookup,
                    "a task had started before the answer {result:?}"
                );
                self.not_run += 1;
            }
            CallResult::Failed(_) => self.failed += 1,
            other => panic!("unexpected answer to a call: {other:?}"),
        }
    }

    pub(crate) fn entry_died(&mut self, entry: Incarnation) {
        self.dead.insert(entry);
    }

    /// Checks that no task of a submission started twice, at the same agent or at different ones.
    pub(crate) fn check_starts(&self, gates: &BTreeMap<Incarnation, FakeGate>) {
        let mut seen = HashSet::new();
        for gate in gates.values() {
            for start in &gate.starts {
                assert!(seen.insert(*start), "{start:?} started twice");
            }
        }
    }

    pub(crate) fn check_all_answered(&self, alive: &BTreeSet<Incarnation>) {
        for (id, call) in &self.calls {
            let expected = u32::from(alive.contains(&call.entry));
            assert!(call.answers >= expected, "call {id:?} has no answer");
        }
    }
}
