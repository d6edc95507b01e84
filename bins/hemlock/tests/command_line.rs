//! Help texts and exit codes of the command line, and the errors that `hemlock check` prints.

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
fn every_example_file_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let mut files = Vec::new();
    yaml_files(&folder, &mut files);
    // Two deployments with 11 agents each, and a deployment on a single machine.
    assert!(files.len() >= 50, "{files:?}");
    let mut arguments = vec!["check"];
    arguments.extend(files.iter().filter_map(|file| file.to_str()));
    let output = hemlock(&arguments);
    assert_eq!(code(&output), 0, "{}", errors(&output));
    let lines = String::from_utf8_lossy(&output.stdout).lines().count();
    assert_eq!(lines, files.len());
}

#[test]
fn all_errors_of_a_file_are_printed() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("contract.yaml");
    let text = "customer: Tartu\nrevision: 0\nservices: []\nmax_runing: 4\nmax_running: 0\n\
                max_queued: none\nkey_sha256: [abc]\n";
    std::fs::write(&file, text).unwrap();
    let output = hemlock(&["check", file.to_str().unwrap()]);
    assert_eq!(code(&output), 2);
    let printed = errors(&output);
    for expected in [
        "line 4: max_runing: unknown field",
        "line 6: max_queued: invalid value",
        "line 7: key_sha256: invalid value",
    ] {
        assert!(
            printed.contains(expected),
            "{expected:?} is not in {printed}"
        );
    }
    let parsable = text.replace("max_runing: 4\n", "").replace("none", "1");
    let digest = "0".repeat(64);
    std::fs::write(&file, parsable.replace("abc", &digest)).unwrap();
    let printed = errors(&hemlock(&["check", file.to_str().unwrap()]));
    for expected in [
        "line 1: customer:",
        "line 2: revision:",
        "line 3: services:",
        "line 4: max_running:",
    ] {
        assert!(
            printed.contains(expected),
            "{expected:?} is not in {printed}"
        );
    }
}

#[test]
fn a_file_of_unknown_kind_needs_the_kind_option() {
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
        "evacuations",
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
fn invalid_arguments_are_explained() {
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
        let printed = errors(&output);
        assert!(printed.contains(advice), "{arguments:?}: {printed}");
    }
}

#[test]
fn unreachable_servers_have_their_own_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    std::fs::write(&key, "a-key\n").unwrap();
    let key = key.to_str().unwrap();
    let unused_address = hemlock_standin::free_address().unwrap().to_string();
    let target = ["--keepers", &unused_address, "--key-file", key];
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
        &unused_address,
        "--key-file",
        key,
        "--service",
        "s",
        "--operation",
        "o",
    ];
    assert_eq!(code(&hemlock(&submit)), 4);
}
