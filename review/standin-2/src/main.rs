//! Plays the cases of the second review: starts the deployed program as separate processes with
//! stand-ins for clients, minions and the platform, and checks a rule on what these have seen.
//!
//! Usage: `review-rig CASE RECORD [SEED]`, from the root of the repository. `TROUBLE=0` leaves out
//! the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
//! run.

mod cases;
mod deployment;
mod http;
mod minion;
mod record;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-rig CASE RECORD [SEED]");
        return ExitCode::from(2);
    };
    let seed = arguments
        .get(3)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let program = PathBuf::from("target/release/hemlock-platform");
    if !program.exists() {
        eprintln!("{} is not built", program.display());
        return ExitCode::from(2);
    }
    let folder = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Arc::new(Record::new());
    record.note(format!("case {case}, trouble {trouble}"));
    let run = cases::Run {
        program: &program,
        folder: &folder,
        record: Arc::clone(&record),
        trouble,
        seed,
    };
    let verdict = run.play(case);
    deployment::end_all();
    let (text, code) = match verdict {
        Verdict::Held => ("held".to_owned(), 0),
        Verdict::Broken(text) => (format!("broken: {text}"), 1),
        Verdict::NotRun(text) => (format!("not run: {text}"), 2),
    };
    record.note(&text);
    record.write(Path::new(path));
    println!("{case}: {text}");
    if std::env::var_os("KEEP_FOLDER").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(code)
}
