//! Simulated operators, who race and resend, and what they were told.

use std::collections::BTreeMap;

use bytes::Bytes;
use hemlock_keeper::prelude::*;
use hemlock_types::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg32;
use serde_json::Value;

/// A call on its way.
#[derive(Clone, Debug)]
pub(crate) struct SimCall {
    pub(crate) customer: &'static str,
    pub(crate) revision: u64,
    pub(crate) running: u32,
    pub(crate) wait: bool,
    pub(crate) highest_before: u64,
    pub(crate) read: bool,
}

/// What operators know.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    /// The accepted limit of every accepted revision, with the version it got.
    pub(crate) accepted: BTreeMap<(&'static str, u64), (u32, u64)>,
    pub(crate) refused: u64,
}

pub(crate) const CUSTOMERS: [&str; 2] = ["loovutusliit", "sablah"];

impl Operators {
    /// The highest accepted revision of the customer.
    pub(crate) fn highest(&self, customer: &str) -> u64 {
        self.accepted
            .keys()
            .filter(|(name, _)| *name == customer)
            .map(|(_, revision)| *revision)
            .max()
            .unwrap_or(0)
    }

    /// A new call: a change near the highest revision, or a read.
    pub(crate) fn draw(&self, rng: &mut Pcg32) -> SimCall {
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

    /// Takes the answer to a call; returns the version when a change was accepted.
    pub(crate) fn take_answer(&mut self, call: &SimCall, status: u16, body: &Bytes) -> Option<u64> {
        let body: Value = serde_json::from_slice(body).expect("answers are JSON");
        match (call.read, status) {
            (true, 200) => {
                let revision = body["contract"]["revision"].as_u64().expect("a revision");
                assert!(
                    revision >= call.highest_before,
                    "an accepted contract never reverts"
                );
                None
            }
            (false, 200) => self.take_accepted(call, &body),
            (false, 409) => {
                self.refused += 1;
                None
            }
            _ => None,
        }
    }

    fn take_accepted(&mut self, call: &SimCall, body: &Value) -> Option<u64> {
        let version = body["version"].as_u64().expect("a version");
        let key = (call.customer, call.revision);
        let first = *self.accepted.entry(key).or_insert((call.running, version));
        assert_eq!(
            first,
            (call.running, version),
            "a revision has one winner, and a resend gets the first answer"
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
