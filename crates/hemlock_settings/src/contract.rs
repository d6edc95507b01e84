//! Reads an operator's contract file.

use hemlock_contract::prelude::*;
use hemlock_types::prelude::*;

use crate::document::Settings;
use crate::fault::Problem;
use crate::section::Section;

/// Most tasks that a contract may let run or wait.
const TASKS_MAX: u64 = 10_000_000;
/// Largest weight.
const WEIGHT_MAX: u64 = 1_000_000;
/// Shortest deadline, in milliseconds.
const DEADLINE_MIN_MS: u64 = 1;
/// Longest deadline, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;
/// Largest share, in percent.
const PERCENT_MAX: u64 = 100;
/// Most keys, services or non-idempotent operations of one contract.
const LIST_MAX: usize = 1_024;

/// What a file that leaves a field out gets.
struct Defaults {
    weight: u64,
    deadline_ms: u64,
    deadline_cap_ms: u64,
    retry_budget_percent: u64,
}

const DEFAULTS: Defaults = Defaults {
    weight: 100,
    deadline_ms: 10_000,
    deadline_cap_ms: 60_000,
    retry_budget_percent: 10,
};

impl Settings for Contract {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let customer = section.required_name("customer");
        let revision = section.required_number("revision", 1, u64::MAX);
        let key_sha256 = section.required_list(
            "key_sha256",
            1,
            LIST_MAX,
            "the SHA-256 of each key, in 64 hexadecimal digits",
        );
        let services = read_services(section);
        let max_running = section.required_number("max_running", 1, TASKS_MAX);
        let max_queued = section.required_number("max_queued", 0, TASKS_MAX);
        let urgency = section.optional(
            "urgency",
            Urgency::default(),
            "interactive, normal or batch",
        );
        let weight = section.optional_number("weight", DEFAULTS.weight, 1, WEIGHT_MAX);
        let non_idempotent = read_non_idempotent(section, services.as_deref());
        let deadlines = read_deadlines(section);
        let retry_budget_percent = section.optional_number(
            "retry_budget_percent",
            DEFAULTS.retry_budget_percent,
            0,
            PERCENT_MAX,
        );
        let hedging = read_hedging(section);
        let (deadline_ms, deadline_cap_ms) = deadlines?;
        Some(Self {
            customer: customer?,
            revision: Revision(revision?),
            key_sha256: key_sha256?,
            services: services?,
            max_running: u32::try_from(max_running?).ok()?,
            max_queued: u32::try_from(max_queued?).ok()?,
            urgency: urgency?,
            weight: u32::try_from(weight?).ok()?,
            non_idempotent: non_idempotent?,
            deadline_ms,
            deadline_cap_ms,
            retry_budget_percent: u8::try_from(retry_budget_percent?).ok()?,
            hedging: hedging?,
        })
    }
}

fn read_services(section: &mut Section<'_>) -> Option<Vec<ServiceName>> {
    let expects = "each service's name as `- name`";
    let services: Vec<ServiceName> = section.required_list("services", 1, LIST_MAX, expects)?;
    for (index, service) in services.iter().enumerate() {
        let usable = hemlock_types::names::is_valid_name(service.as_str());
        section.check(usable, &format!("services[{index}]"), Problem::Name);
    }
    Some(services)
}

fn read_non_idempotent(
    section: &mut Section<'_>,
    services: Option<&[ServiceName]>,
) -> Option<Vec<OperationRef>> {
    let expects = "each operation as `- service: name` and `operation: name`";
    let listed = section.sections("non_idempotent", 0, LIST_MAX, expects, |item| {
        let service = item.required_name("service");
        let operation = item.required_name("operation");
        Some(OperationRef {
            service: service?,
            operation: operation?,
        })
    })?;
    for (index, operation) in listed.iter().enumerate() {
        let known = services.is_none_or(|services| services.contains(&operation.service));
        let field = format!("non_idempotent[{index}]");
        section.check(
            known,
            &format!("{field}.service"),
            Problem::Conflict("not one of services; add it there or correct it"),
        );
        let repeated = listed[..index].contains(operation);
        section.check(!repeated, &field, Problem::Duplicate);
    }
    Some(listed)
}

fn read_deadlines(section: &mut Section<'_>) -> Option<(u64, u64)> {
    let deadline_ms = section.optional_number(
        "deadline_ms",
        DEFAULTS.deadline_ms,
        DEADLINE_MIN_MS,
        DEADLINE_MAX_MS,
    );
    let deadline_cap_ms = section.optional_number(
        "deadline_cap_ms",
        DEFAULTS.deadline_cap_ms,
        DEADLINE_MIN_MS,
        DEADLINE_MAX_MS,
    );
    let (deadline_ms, deadline_cap_ms) = (deadline_ms?, deadline_cap_ms?);
    section.check(
        deadline_ms <= deadline_cap_ms,
        "deadline_ms",
        Problem::Conflict("longer than deadline_cap_ms; lower it or raise the cap"),
    );
    Some((deadline_ms, deadline_cap_ms))
}

fn read_hedging(section: &mut Section<'_>) -> Option<Hedging> {
    let expects = "the fields enabled and budget_percent";
    let default_percent = u64::from(Hedging::default().budget_percent);
    let hedging = section.optional_section("hedging", expects, |hedging| {
        let enabled = hedging.required("enabled", "true or false");
        let percent = hedging.optional_number("budget_percent", default_percent, 0, PERCENT_MAX);
        Some(Hedging {
            enabled: enabled?,
            budget_percent: u8::try_from(percent?).ok()?,
        })
    })?;
    Some(hedging.unwrap_or_default())
}
