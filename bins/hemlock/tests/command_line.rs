//! The command line: help, exit codes, and files checked with every fault at once.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn hemlock(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hemlock"))
        .args(arguments)
        .env_remove("HEMLOCK_KEY")
        .env_remove("HEMLOCK_KEEPERS")
        .output()
        .expect("the program runs")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("the program ends by itself")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn yaml_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for item in std::fs::read_dir(folder).expect("the folder is readable") {
        let path = item.expect("the folder is readable").path();
        match path.extension() {
            _ if path.is_dir() => yaml_files(&path, found),
            Some(extension) if extension == "yaml" => found.push(path),
            _ => {}
        }
    }
}

#[test]
fn every_sample_file_is_good() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let mut files = Vec::new();
    yaml_files(&folder, &mut files);
    // Two deployments with 11 agents each, and a trial on one machine.
    assert!(files.len() >= 50, "{files:?}");
    let mut arguments = vec!["check"];
    arguments.extend(files.iter().filter_map(|file| file.to_str()));
    let output = hemlock(&arguments);
    assert_eq!(code(&output), 0, "{}", errors(&output));
    let lines = String::from_utf8_lossy(&output.stdout).lines().count();
    assert_eq!(lines, files.len());
}

#[test]
fn a_bad_file_has_every_fault_said_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("contract.yaml");
    let text = "customer: Tartu\nrevision: 0\nservices: []\nmax_runing: 4\nmax_running: 0\n\
                max_queued: none\nkey_sha256: [abc]\n";
    std::fs::write(&file, text).unwrap();
    let output = hemlock(&["check", file.to_str().unwrap()]);
    assert_eq!(code(&output), 2);
    let said = errors(&output);
    for fault in [
        "line 4: max_runing: unknown field",
        "line 6: max_queued: invalid value",
        "line 7: key_sha256: invalid value",
    ] {
        assert!(said.contains(fault), "{fault:?} is not in {said}");
    }
    let readable = text.replace("max_runing: 4\n", "").replace("none", "1");
    let digest = "0".repeat(64);
    std::fs::write(&file, readable.replace("abc", &digest)).unwrap();
    let said = errors(&hemlock(&["check", file.to_str().unwrap()]));
    for fault in [
        "line 1: customer:",
        "line 2: revision:",
        "line 3: services:",
        "line 4: max_running:",
    ] {
        assert!(said.contains(fault), "{fault:?} is not in {said}");
    }
}

#[test]
fn a_file_of_unknown_kind_is_refused_unless_it_is_named() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("other.yaml");
    std::fs::write(&file, "colour: green\n").unwrap();
    let file = file.to_str().unwrap();
    let output = hemlock(&["check", file]);
    assert_eq!(code(&output), 2);
    assert!(errors(&output).contains("--kind"));
    let output = hemlock(&["check", "--kind", "agent", file]);
    assert_eq!(code(&output), 2);
    assert!(errors(&output).contains("line 1: colour: unknown field"));
    assert_eq!(code(&hemlock(&["check", "--kind", "nothing", file])), 2);
    assert_eq!(code(&hemlock(&["check", "no-such-file.yaml"])), 2);
}

#[test]
fn every_command_has_help() {
    let commands = [
        "demo",
        "check",
        "contract",
        "stop",
        "endpoints",
        "status",
        "keepers",
        "submit",
    ];
    let overview = hemlock(&["--help"]);
    assert_eq!(code(&overview), 0);
    let overview = String::from_utf8_lossy(&overview.stdout).into_owned();
    for command in commands {
        assert!(overview.contains(command), "{command}");
        let output = hemlock(&[command, "--help"]);
        assert_eq!(code(&output), 0, "{command}");
        let help = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(help.contains("Usage:"), "{command}: {help}");
    }
}

#[test]
fn wrong_usage_says_what_to_do() {
    let cases: [(&[&str], &str); 7] = [
        (&["fly"], "demo, check"),
        (&["status", "--fast"], "--help"),
        (&["status"], "--keepers"),
        (&["status", "--keepers", "here"], "IP addresses"),
        (
            &["status", "--keepers", "127.0.0.1:1", "--format", "xml"],
            "table or json",
        ),
        (&["status", "--keepers", "127.0.0.1:1"], "--key-file"),
        (&["demo", "--jobs", "many"], "a whole number"),
    ];
    for (arguments, advice) in cases {
        let output = hemlock(arguments);
        assert_eq!(code(&output), 2, "{arguments:?}");
        let said = errors(&output);
        assert!(said.contains(advice), "{arguments:?}: {said}");
    }
}

#[test]
fn nobody_there_is_its_own_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    std::fs::write(&key, "a-key\n").unwrap();
    let key = key.to_str().unwrap();
    let nobody = hemlock_standin::free_address().unwrap().to_string();
    let target = ["--keepers", &nobody, "--key-file", key];
    for command in [
        &["status"][..],
        &["contract", "list"],
        &["stop", "list"],
        &["endpoints"],
    ] {
        let output = hemlock(&[command, &target].concat());
        assert_eq!(code(&output), 4, "{command:?}: {}", errors(&output));
    }
    let submit = [
        "submit",
        "--entry",
        &nobody,
        "--key-file",
        key,
        "--service",
        "s",
        "--operation",
        "o",
    ];
    assert_eq!(code(&hemlock(&submit)), 4);
}
