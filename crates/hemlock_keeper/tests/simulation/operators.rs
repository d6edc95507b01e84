//! Simulated operators, which send competing and repeated changes and check the replies.

use std::collections::BTreeMap;

use bytes::Bytes;
use hemlock_keeper::prelude::*;
use hemlock_types::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg32;
use serde_json::Value;

/// Operator's call that isn't answered yet.
#[derive(Clone, Debug)]
pub(crate) struct SimCall {
    pub(crate) customer: &'static str,
    pub(crate) revision: u64,
    pub(crate) running: u32,
    pub(crate) wait: bool,
    /// Highest accepted revision when the call was sent, which a read must return at least.
    pub(crate) highest_before: u64,
    pub(crate) read: bool,
}

/// Results that the operators have received.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    /// Limit and configuration version of each accepted revision.
    pub(crate) accepted: BTreeMap<(&'static str, u64), (u32, u64)>,
    pub(crate) refused: u64,
}

pub(crate) const CUSTOMERS: [&str; 2] = ["loovutusliit", "sablah"];

impl Operators {
    /// Returns the highest accepted revision of the customer.
    pub(crate) fn highest(&self, customer: &str) -> u64 {
        self.accepted
            .keys()
            .filter(|(name, _)| *name == customer)
            .map(|(_, revision)| *revision)
            .max()
            .unwrap_or(0)
    }

    /// Creates a random call: a change with a revision near the highest one, or a read.
    pub(crate) fn random_call(&self, rng: &mut Pcg32) -> SimCall {
        let customer = CUSTOMERS[rng.random_range(0..CUSTOMERS.len())];
        let highest = self.highest(customer);
        SimCall {
            customer,
            revision: (highest + rng.random_range(0..3)).max(1),
            running: rng.random_range(1..30),
            wait: rng.random_range(0..2) == 0,
            highest_before: highest,
            read: rng.random_range(0..4) == 0,
        }
    }

    /// Checks the reply to a call. Returns the configuration version if a change was accepted.
    pub(crate) fn handle_reply(
        &mut self,
        call: &SimCall,
        status: u16,
        body: &Bytes,
    ) -> Option<u64> {
        let body: Value = serde_json::from_slice(body).expect("replies are JSON");
        match (call.read, status) {
            (true, 200) => {
                let revision = body["contract"]["revision"].as_u64().expect("a revision");
                assert!(
                    revision >= call.highest_before,
                    "an accepted contract never reverts"
                );
                None
            }
            (false, 200) => self.handle_accepted(call, &body),
            (false, 409) => {
                self.refused += 1;
                None
            }
            _ => None,
        }
    }

    fn handle_accepted(&mut self, call: &SimCall, body: &Value) -> Option<u64> {
        let version = body["version"].as_u64().expect("a version");
        let key = (call.customer, call.revision);
        let first = *self.accepted.entry(key).or_insert((call.running, version));
        assert_eq!(
            first,
            (call.running, version),
            "a revision is accepted once, and a repeated change gets the first reply"
        );
        Some(version)
    }
}

impl SimCall {
    pub(crate) fn operator_call(&self) -> OperatorCall {
        let customer = self.customer;
        let path = format!("/v1/contracts/{customer}");
        if self.read {
            return OperatorCall {
                method: "GET".to_owned(),
                path,
                body: Bytes::new(),
            };
        }
        let key = Digest::of_key(customer.as_bytes());
        let body = format!(
            r#"{{"customer":"{customer}","revision":{},"key_sha256":["{key}"],
                "services":["portaal"],"max_running":{},"max_queued":9}}"#,
            self.revision, self.running
        );
        OperatorCall {
            method: "PUT".to_owned(),
            path: if self.wait {
                format!("{path}?wait=in-force")
            } else {
                path
            },
            body: Bytes::from(body),
        }
    }
}
