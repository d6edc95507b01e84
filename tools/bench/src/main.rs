//! Load tests and fault experiments with the real programs on loopback.
//!
//! `hemlock-bench SCENARIO [options]` starts the programs in its own folder as separate
//! processes, runs the scenario with them, and prints one JSON object as its last line.

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
        Ok(guarantees_held) if guarantees_held => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("hemlock-bench: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the scenario that the arguments name. Returns false if it found a violated guarantee.
fn run() -> Result<bool, BenchError> {
    let options = Options::from_args()?;
    if options.help {
        println!("{}", options::HELP);
        return Ok(true);
    }
    match options.scenario.as_str() {
        "capacity" => print_capacity()?,
        "report" => print_report()?,
        _ => return run_scenario(&options),
    }
    Ok(true)
}

fn run_scenario(options: &Options) -> Result<bool, BenchError> {
    let outcome = scenario::run(options)?;
    println!("{}", outcome.figures);
    Ok(outcome.guarantees_held)
}

/// Prints the figures of the capacity page, from recorded slopes on standard input.
fn print_capacity() -> Result<(), BenchError> {
    let slopes = serde_json::from_reader(std::io::stdin())?;
    print!("{}", hemlock_bench::capacity::render_figures(&slopes));
    Ok(())
}

/// Prints an HTML page with plots, from recorded figures on standard input.
fn print_report() -> Result<(), BenchError> {
    let lines = std::io::read_to_string(std::io::stdin())?;
    print!("{}", hemlock_bench::report::render_report(&lines)?);
    Ok(())
}
