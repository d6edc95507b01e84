//! All errors of a file are reported at once, each with its line and the expected value.

use hemlock_contract::prelude::*;
use hemlock_settings::prelude::*;
use quickcheck::quickcheck;

const KEEPER: &str = "\
cluster: ee-kesk
cluster_key: a-long-shared-cluster-key
keeper_id: 2
data_folder: data/keeper-2
wire_address: 127.0.0.1:7102
http_address: 127.0.0.1:7202
domain: harju-2
keepers:
  - id: 1
    address: 127.0.0.1:7101
  - id: 2
    address: 127.0.0.1:7102
operator_key_sha256:
  - 0000000000000000000000000000000000000000000000000000000000000000
";

const CONTRACT: &str = "\
customer: shelters
revision: 3
key_sha256:
- 0000000000000000000000000000000000000000000000000000000000000000
services: [loovutus-portaal]
max_running: 64
max_queued: 512
non_idempotent:
- service: loovutus-portaal
  operation: reserve
";

fn errors_of<S: Settings + std::fmt::Debug>(text: &str) -> Vec<String> {
    let error = parse::<S>(text).expect_err("the text is invalid");
    error
        .field_errors()
        .iter()
        .map(ToString::to_string)
        .collect()
}

fn replace_once(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from:?} is not in the sample text");
    text.replacen(from, to, 1)
}

#[test]
fn valid_files_are_accepted() {
    let keeper: KeeperSettings = parse(KEEPER).unwrap();
    assert_eq!(keeper.keepers.len(), 2);
    let contract: Contract = parse(CONTRACT).unwrap();
    assert_eq!(contract.weight, 100);
    assert_eq!(contract.deadline_ms, 10_000);
    assert!(!contract.hedging.enabled);
}

#[test]
fn settings_and_serde_agree_on_defaults() {
    let from_settings: Contract = parse(CONTRACT).unwrap();
    let from_serde: Contract = serde_yaml_ng::from_str(CONTRACT).unwrap();
    assert_eq!(from_settings, from_serde);
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = replace_once(KEEPER, "keeper_id: 2", "keeper_id: none");
    let text = replace_once(&text, "domain: harju-2", "domain: Harju 2\nracks: 1");
    let text = replace_once(&text, "    address: 127.0.0.1:7102", "    address: nowhere");
    let errors = errors_of::<KeeperSettings>(&text);
    assert_eq!(errors.len(), 4, "{errors:#?}");
    assert!(errors[0].starts_with("line 3: keeper_id: invalid value"));
    assert!(errors[1].starts_with("line 7: domain: invalid name"));
    assert!(errors[2].starts_with("line 8: racks: unknown field"));
    assert!(errors[3].starts_with("line 13: keepers[1].address: invalid value"));
}

#[test]
fn contradicting_fields_are_reported() {
    let not_listed = replace_once(KEEPER, "keeper_id: 2", "keeper_id: 3");
    assert!(
        errors_of::<KeeperSettings>(&not_listed)[0].starts_with("line 8: keepers: must include")
    );
    let other_address = replace_once(
        KEEPER,
        "wire_address: 127.0.0.1:7102",
        "wire_address: 127.0.0.1:1",
    );
    assert!(errors_of::<KeeperSettings>(&other_address)[0].contains("make them equal"));
    let same_id = replace_once(KEEPER, "- id: 1", "- id: 2");
    let same_id = errors_of::<KeeperSettings>(&same_id);
    assert!(
        same_id
            .iter()
            .any(|error| error.contains("keepers[1].id: duplicate value"))
    );
    let long = format!("{CONTRACT}deadline_ms: 70000\n");
    assert!(
        errors_of::<Contract>(&long)[0]
            .starts_with("line 11: deadline_ms: must not exceed deadline_cap_ms")
    );
    let unlisted = replace_once(
        CONTRACT,
        "- service: loovutus-portaal",
        "- service: allocate",
    );
    assert!(errors_of::<Contract>(&unlisted)[0].starts_with("line 9: non_idempotent[0].service"));
}

#[test]
fn a_duplicate_key_and_broken_yaml_are_refused() {
    let twice = format!("{CONTRACT}revision: 4\n");
    assert!(matches!(
        parse::<Contract>(&twice),
        Err(SettingsError::Yaml(_))
    ));
    let cut = &KEEPER[..KEEPER.len() / 2];
    assert!(parse::<KeeperSettings>(cut).is_err());
}

#[test]
fn kinds_are_detected_by_their_fields() {
    assert_eq!(FileKind::detect(KEEPER), Some(FileKind::Keeper));
    assert_eq!(FileKind::detect(CONTRACT), Some(FileKind::Contract));
    assert_eq!(FileKind::detect("nothing: known"), None);
}

#[test]
fn secrets_are_hidden() {
    let keeper: KeeperSettings = parse(KEEPER).unwrap();
    assert!(!format!("{keeper:?}").contains("a-long-shared-cluster-key"));
}

quickcheck! {
    fn a_truncated_or_changed_file_never_panics(cut: usize, byte: u8, position: usize) -> bool {
        let mut bytes = KEEPER.as_bytes()[..cut % KEEPER.len()].to_vec();
        if !bytes.is_empty() {
            let position = position % bytes.len();
            bytes[position] = byte;
        }
        let text = String::from_utf8_lossy(&bytes);
        // The line of every error is a line of the file.
        let lines = text.lines().count().max(1);
        parse::<KeeperSettings>(&text)
            .err()
            .is_none_or(|error| error.field_errors().iter().all(|field| field.line <= lines))
    }
}
