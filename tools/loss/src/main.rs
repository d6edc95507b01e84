//! Prints the losses of a played day: `hemlock-loss --report FILE [--log FILE] [--json]`.

use std::collections::BTreeMap;
use std::process::ExitCode;

use hemlock_loss::prelude::*;
use lexopt::prelude::*;

/// Length of the windows of a report, in seconds.
const WINDOW_S: f64 = 2.0;
/// Smallest loss that the table shows.
const MIN_SHOWN_LOSS: f64 = 0.0005;

#[derive(Default)]
struct Options {
    report: Option<String>,
    log: Option<String>,
    json: bool,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hemlock-loss: {error}");
            ExitCode::from(2)
        }
    }
}

fn read_options() -> Result<Options, LossError> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("report") => options.report = Some(parser.value()?.string()?),
            Long("log") => options.log = Some(parser.value()?.string()?),
            Long("json") => options.json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(options)
}

fn run() -> Result<(), LossError> {
    let options = read_options()?;
    let report = options.report.ok_or(LossError::MissingArgument("report"))?;
    let report: DayReport = serde_json::from_str(&std::fs::read_to_string(report)?)?;
    let causes = match options.log {
        Some(log) => read_causes(std::fs::read_to_string(log)?.lines(), WINDOW_S),
        None => BTreeMap::new(),
    };
    let rows = split_losses(&report, &causes);
    match options.json {
        true => println!("{}", serde_json::to_string(&rows)?),
        false => print_table(&rows),
    }
    Ok(())
}

/// Prints the losses by cause, with the window in which each is largest.
fn print_table(rows: &[LossRow]) {
    let mut by_cause: BTreeMap<&str, (f64, f64, Option<f64>)> = BTreeMap::new();
    for row in rows {
        let (sum, largest, window_s) = by_cause.entry(&row.cause).or_default();
        *sum += row.loss;
        if row.loss > *largest {
            (*largest, *window_s) = (row.loss, row.window_s);
        }
    }
    let mut sorted: Vec<_> = by_cause.into_iter().collect();
    sorted.sort_by(|(_, a), (_, b)| b.0.total_cmp(&a.0));
    println!("| cause | loss | most in window |");
    println!("|---|---|---|");
    for (cause, (sum, largest, window_s)) in &sorted {
        if sum.abs() >= MIN_SHOWN_LOSS {
            let window = window_s.map(|at_s| format!("{at_s} s: {largest:.4}"));
            println!("| {cause} | {sum:.4} | {} |", window.unwrap_or_default());
        }
    }
    let total: f64 = sorted.iter().map(|(_, (sum, _, _))| sum).sum();
    println!("| all | {total:.4} | |");
}
