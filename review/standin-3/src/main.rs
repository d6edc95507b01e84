//! Plays one case of the review: starts the deployed program's roles as separate processes on
//! loopback addresses, with stand-ins for the minions, the operator and the clients, and checks one
//! rule from what these stand-ins see.
//!
//! Usage: `review-standin-3 CASE FOLDER`. `FOLDER/record.txt` gets the record. `TROUBLE=0` leaves
//! the disruption out. The exit status is 0 if the rule held, 1 if it was broken, and 2 if the case
//! couldn't run.

mod cases;
mod client;
mod deployment;
mod minion;
mod proxy;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use record::Record;

/// How a case ended.
pub(crate) enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => Rc::new(record),
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(format!("case {case}, trouble {trouble}"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(2);
    };
    let local = tokio::task::LocalSet::new();
    let verdict = local.block_on(&runtime, cases::play(&case, trouble, Rc::clone(&record)));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::NotRun => ("the case couldn't run", 2),
    };
    record.note(text.to_owned());
    println!("{case}: {text}");
    ExitCode::from(code)
}
