//! Invalid contracts and planned stops. Every error must name the line and field of the fault, so
//! that an operator can find it.

use hemlock_contract::prelude::*;

const VALID: &str = "\
customer: sablah
revision: 3
key_sha256: [e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855]
services: [allocate]
max_running: 88
max_queued: 1000
non_idempotent:
  - {service: allocate, operation: charge}
deadline_ms: 2000
deadline_cap_ms: 60000
";

/// Returns the line and field of every fault in the valid text after replacing `from` by `to`.
fn faults(from: &str, to: &str) -> Vec<(usize, String)> {
    assert!(VALID.contains(from), "the valid text must contain {from}");
    let error = parse_yaml(&VALID.replace(from, to)).expect_err("the text is invalid");
    let located = |fault: LocatedFault| (fault.line, fault.field);
    error.faults.into_iter().map(located).collect()
}

#[test]
fn a_valid_text_is_parsed() {
    let contract = parse_yaml(VALID).expect("the text is valid");
    assert_eq!(contract.max_running, 88);
    let json = serde_json::to_vec(&contract).expect("every contract can be written as JSON");
    assert_eq!(parse_json(&json).expect("the JSON is valid"), contract);
}

#[test]
fn errors_name_the_line_and_the_field() {
    let cases = [
        (
            "revision: 3",
            "revision: 18446744073709551616",
            2,
            "revision",
        ),
        ("revision: 3", "revision: 0", 2, "revision"),
        ("revision: 3", "revision: -1", 2, "revision"),
        ("max_running: 88", "max_running: many", 5, "max_running"),
        ("max_running: 88", "max_running: 0", 5, "max_running"),
        ("max_queued: 1000", "max_queud: 1000", 6, "max_queud"),
        ("customer: sablah", "customer: Sablah!", 1, "customer"),
        ("services: [allocate]", "services: []", 4, "services"),
        ("deadline_ms: 2000", "deadline_ms: 70000", 9, "deadline_ms"),
        (
            "operation: charge",
            "operation: 'a b'",
            7,
            "non_idempotent[0].operation",
        ),
    ];
    for (from, to, line, field) in cases {
        let found = faults(from, to);
        assert!(found.contains(&(line, field.to_owned())), "{to}: {found:?}");
    }
}

#[test]
fn a_missing_or_repeated_field_is_named() {
    let missing = faults("revision: 3\n", "");
    assert_eq!(missing[0].1, "revision");
    let repeated = faults("max_running: 88\n", "max_running: 88\nmax_running: 89\n");
    assert_eq!(repeated[0].1, "max_running");
}

#[test]
fn every_fault_is_reported_at_once() {
    let invalid = VALID
        .replace("max_running: 88", "max_running: 0")
        .replace("deadline_ms: 2000", "deadline_ms: 0")
        .replace("services: [allocate]", "services: [allocate, allocate]");
    let error = parse_yaml(&invalid).expect_err("the text is invalid");
    assert_eq!(error.faults.len(), 3, "{error}");
}

#[test]
fn json_errors_name_the_field() {
    let contract = parse_yaml(VALID).expect("the text is valid");
    let json = serde_json::to_string(&contract).expect("every contract can be written as JSON");
    let cases = [
        (
            "\"revision\":3",
            "\"revision\":18446744073709551616",
            "revision",
        ),
        ("\"revision\":3", "\"revision\":\"3\"", "revision"),
        (
            "\"revision\":3",
            "\"revision\":3,\"revision\":4",
            "revision",
        ),
        ("\"revision\":3", "\"revison\":3", "revison"),
        ("\"max_running\":88", "\"max_running\":1.5", "max_running"),
        (
            "\"operation\":\"charge\"",
            "\"operation\":7",
            "non_idempotent[0].operation",
        ),
    ];
    for (from, to, field) in cases {
        let invalid = json.replace(from, to);
        assert_ne!(invalid, json);
        let error = parse_json(invalid.as_bytes()).expect_err("the text is invalid");
        assert_eq!(error.faults[0].field, field, "{to}: {error}");
    }
    assert!(parse_json(format!("{json}x").as_bytes()).is_err());
    let too_large = vec![b' '; 1024 * 1024];
    let error = parse_json(&too_large).expect_err("the text is too large");
    assert!(matches!(error.faults[0].kind, ParseFault::TooLarge(_)));
}

#[test]
fn a_stop_with_an_invalid_name_is_refused() {
    let valid = br#"{"id":"rack-move","target":{"domain":"harju-1"}}"#;
    assert!(parse_stop_json(valid).is_ok());
    let invalid = br#"{"id":"rack move","target":{"domain":"harju-1"}}"#;
    let error = parse_stop_json(invalid).expect_err("the name is invalid");
    assert_eq!(error.faults[0].field, "id");
}
