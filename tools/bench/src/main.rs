//! Load and experiments against the real programs on loopback.
//!
//! `hemlock-bench SCENARIO [options]` starts the programs that were built beside it as separate
//! processes, drives them, and prints one JSON object as its last line.

mod cluster;
mod error;
mod load;
mod options;
mod scenario;

use std::process::ExitCode;

use error::BenchError;
use options::Options;

fn main() -> ExitCode {
    match run() {
        Ok(held) if held => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("hemlock-bench: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the scenario that the arguments name; the result says whether every promise held.
fn run() -> Result<bool, BenchError> {
    let options = Options::from_args()?;
    if options.help {
        println!("{}", options::HELP);
        return Ok(true);
    }
    let outcome = scenario::run(&options)?;
    println!("{}", outcome.figures);
    Ok(outcome.promises_held)
}
