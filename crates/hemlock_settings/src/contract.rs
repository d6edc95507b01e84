//! Reads a contract file written by an operator.

use hemlock_contract::prelude::*;
use hemlock_types::prelude::*;

use crate::document::Settings;
use crate::error::FieldProblem;
use crate::section::Section;

/// Maximum number of items in a list. The limit of each list is checked by
/// [`Contract::check`].
const LIST_MAX: usize = 65_536;

/// Reads every field, then runs [`Contract::check`], which keepers also run on a new contract.
impl Settings for Contract {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let defaults = Defaults::from_serde();
        let customer = section.required("customer", "the customer's name");
        let revision = section.required("revision", "a whole number from 1");
        let key_sha256 = section.required(
            "key_sha256",
            "a list of the SHA-256 of each key, in 64 hexadecimal digits",
        );
        let services = section.required("services", "a list of services' names");
        let max_running = section.required("max_running", "a number of tasks");
        let max_queued = section.required("max_queued", "a number of tasks");
        let urgency = section.optional(
            "urgency",
            Urgency::default(),
            "interactive, normal or batch",
        );
        let weight = section.optional("weight", defaults.weight, "a whole number");
        let non_idempotent = read_non_idempotent(section);
        let deadline_ms = section.optional("deadline_ms", defaults.deadline_ms, MILLISECONDS);
        let deadline_cap_ms =
            section.optional("deadline_cap_ms", defaults.deadline_cap_ms, MILLISECONDS);
        let retry_budget_percent = section.optional(
            "retry_budget_percent",
            defaults.retry_budget_percent,
            "a whole number of percent",
        );
        let hedging = read_hedging(section);
        let contract = Self {
            customer: customer?,
            revision: revision?,
            key_sha256: key_sha256?,
            services: services?,
            max_running: max_running?,
            max_queued: max_queued?,
            urgency: urgency?,
            weight: weight?,
            non_idempotent: non_idempotent?,
            deadline_ms: deadline_ms?,
            deadline_cap_ms: deadline_cap_ms?,
            retry_budget_percent: retry_budget_percent?,
            hedging: hedging?,
        };
        for fault in contract.check().err().unwrap_or_default() {
            section.report(&fault.field, FieldProblem::Contract(fault.kind));
        }
        Some(contract)
    }
}

/// Description of a time field for error messages.
const MILLISECONDS: &str = "a whole number of milliseconds";

/// Default values of the optional fields.
struct Defaults {
    weight: u32,
    deadline_ms: u64,
    deadline_cap_ms: u64,
    retry_budget_percent: u8,
}

impl Defaults {
    /// Takes the defaults from the serde form of a contract, so that both forms agree.
    fn from_serde() -> Self {
        let minimal_yaml = "{customer: a, revision: 1, key_sha256: [], services: [], \
                        max_running: 1, max_queued: 1}";
        let contract: Contract =
            serde_yaml_ng::from_str(minimal_yaml).expect("the minimal contract is valid");
        Self {
            weight: contract.weight,
            deadline_ms: contract.deadline_ms,
            deadline_cap_ms: contract.deadline_cap_ms,
            retry_budget_percent: contract.retry_budget_percent,
        }
    }
}

fn read_non_idempotent(section: &mut Section<'_>) -> Option<Vec<OperationRef>> {
    let expected = "each operation as `- service: name` and `operation: name`";
    section.sections("non_idempotent", 0, LIST_MAX, expected, |item| {
        let service: Option<ServiceName> = item.required("service", "the service's name");
        let operation: Option<OperationName> = item.required("operation", "the operation's name");
        Some(OperationRef {
            service: service?,
            operation: operation?,
        })
    })
}

fn read_hedging(section: &mut Section<'_>) -> Option<Hedging> {
    let expected = "the fields enabled and budget_percent";
    let default_percent = Hedging::default().budget_percent;
    let hedging = section.optional_section("hedging", expected, |hedging| {
        let enabled = hedging.required("enabled", "true or false");
        let percent = hedging.optional(
            "budget_percent",
            default_percent,
            "a whole number of percent",
        );
        Some(Hedging {
            enabled: enabled?,
            budget_percent: percent?,
        })
    })?;
    Some(hedging.unwrap_or_default())
}
