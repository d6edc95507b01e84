//! Every fault of a file is reported at once, with its line and the way to mend it.

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

fn faults_of<S: Settings + std::fmt::Debug>(text: &str) -> Vec<String> {
    let error = parse::<S>(text).expect_err("the text has faults");
    error.faults().iter().map(ToString::to_string).collect()
}

fn with(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from:?} is not in the sample");
    text.replacen(from, to, 1)
}

#[test]
fn good_files_pass() {
    let keeper: KeeperSettings = parse(KEEPER).unwrap();
    assert_eq!(keeper.keepers.len(), 2);
    let contract: Contract = parse(CONTRACT).unwrap();
    assert_eq!(contract.weight, 100);
    assert_eq!(contract.deadline_ms, 10_000);
    assert!(!contract.hedging.enabled);
}

#[test]
fn a_reader_and_the_wire_form_agree_on_defaults() {
    let read: Contract = parse(CONTRACT).unwrap();
    let by_serde: Contract = serde_yaml_ng::from_str(CONTRACT).unwrap();
    assert_eq!(read, by_serde);
}

#[test]
fn every_fault_is_reported_at_once() {
    let text = with(KEEPER, "keeper_id: 2", "keeper_id: none");
    let text = with(&text, "domain: harju-2", "domain: Harju 2\nracks: 1");
    let text = with(&text, "    address: 127.0.0.1:7102", "    address: nowhere");
    let faults = faults_of::<KeeperSettings>(&text);
    assert_eq!(faults.len(), 4, "{faults:#?}");
    assert!(faults[0].starts_with("line 3: keeper_id: wrong value"));
    assert!(faults[1].starts_with("line 7: domain: not a name"));
    assert!(faults[2].starts_with("line 8: racks: unknown field"));
    assert!(faults[3].starts_with("line 13: keepers[1].address: wrong value"));
}

#[test]
fn fields_that_disagree_are_reported() {
    let not_listed = with(KEEPER, "keeper_id: 2", "keeper_id: 3");
    assert!(faults_of::<KeeperSettings>(&not_listed)[0].starts_with("line 8: keepers: list"));
    let other_address = with(
        KEEPER,
        "wire_address: 127.0.0.1:7102",
        "wire_address: 127.0.0.1:1",
    );
    assert!(faults_of::<KeeperSettings>(&other_address)[0].contains("make them equal"));
    let same_id = with(KEEPER, "- id: 1", "- id: 2");
    let same_id = faults_of::<KeeperSettings>(&same_id);
    assert!(
        same_id
            .iter()
            .any(|fault| fault.contains("keepers[1].id: stands twice"))
    );
    let long = format!("{CONTRACT}deadline_ms: 70000\n");
    assert!(
        faults_of::<Contract>(&long)[0]
            .starts_with("line 11: deadline_ms: must not exceed deadline_cap_ms")
    );
    let unlisted = with(
        CONTRACT,
        "- service: loovutus-portaal",
        "- service: allocate",
    );
    assert!(faults_of::<Contract>(&unlisted)[0].starts_with("line 9: non_idempotent[0].service"));
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
fn kinds_are_recognised_by_their_content() {
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
    fn a_cut_or_changed_file_never_panics(cut: usize, byte: u8, position: usize) -> bool {
        let mut bytes = KEEPER.as_bytes()[..cut % KEEPER.len()].to_vec();
        if !bytes.is_empty() {
            let position = position % bytes.len();
            bytes[position] = byte;
        }
        let text = String::from_utf8_lossy(&bytes);
        // A line is named for every fault, within the file.
        let lines = text.lines().count().max(1);
        parse::<KeeperSettings>(&text)
            .err()
            .is_none_or(|error| error.faults().iter().all(|fault| fault.line <= lines))
    }
}
