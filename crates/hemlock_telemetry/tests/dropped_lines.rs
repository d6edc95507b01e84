//! Test of the log line that tells of dropped lines. It has a process of its own, because the log is
//! that of the whole process.

use std::io::Read;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use hemlock_telemetry::prelude::*;
use tracing::info;

/// Set for the process that writes the log.
const WRITER_VARIABLE: &str = "HEMLOCK_TEST_LOG_WRITER";
const LINES: u64 = 50_000;

fn write_log() {
    let _writer = start(&TelemetryConfig::default().with_stdout()).expect("logs are not set up");
    for number in 0..LINES {
        info!(event = "numbered", number);
    }
    // The reader begins to read within this time.
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(500));
        log_dropped_lines();
    }
    assert!(dropped_log_lines() > 0, "the queue holds fewer lines");
}

/// The number after `name` in a line.
fn field(line: &str, name: &str) -> Option<u64> {
    let rest = line.split_once(&format!("\"{name}\":"))?.1;
    let digits = rest.split([',', '}']).next()?;
    digits.parse().ok()
}

/// Guards against a gap in the log that nothing in it tells of: the standard output is a socket that
/// doesn't block, and its reader is late.
fn main() {
    if std::env::var_os(WRITER_VARIABLE).is_some() {
        return write_log();
    }
    let (output, mut reader) = UnixStream::pair().expect("a pair of sockets");
    output.set_nonblocking(true).expect("a socket");
    let program = std::env::current_exe().expect("the path of this program");
    let mut writer = Command::new(program)
        .env(WRITER_VARIABLE, "1")
        .stdout(Stdio::from(OwnedFd::from(output)))
        .spawn()
        .expect("the program can be started");
    thread::sleep(Duration::from_millis(700));
    let mut log = String::new();
    reader.read_to_string(&mut log).expect("the log is text");
    assert!(writer.wait().expect("the program ends").success());
    let is_whole = |line: &str| line.starts_with("{\"timestamp\"") && line.ends_with('}');
    assert!(log.lines().all(is_whole), "no line is split or merged");
    let numbers: Vec<u64> = log
        .lines()
        .filter_map(|line| field(line, "number"))
        .collect();
    assert!(numbers.is_sorted(), "the order is kept");
    let told: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("\"event\":\"log-lines-dropped\""))
        .collect();
    let dropped: u64 = told.iter().filter_map(|line| field(line, "count")).sum();
    assert!(dropped > 0, "the log tells of the dropped lines");
    // A report that found the queue full is itself a dropped line.
    let missing = LINES - numbers.len() as u64;
    assert!(
        (missing..=missing + 4).contains(&dropped),
        "{missing} missing, {dropped} told"
    );
    println!(
        "{missing} of {LINES} lines missing, told in {} lines",
        told.len()
    );
}
