//! `hemlock demo`: runs every role in this process and sends work through it.

use crate::demo::{self, DemoOptions};
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::parse_number;

const HELP: &str = "\
hemlock demo: runs 3 keepers, 2 entries, 3 agents and their stand-in endpoints in this
process on loopback, and sends requests and jobs through them

Usage: hemlock demo [OPTIONS]

  --jobs N   submissions to send (default 240)
  --seed S   seed of the work (default 1)
  --quick    shorter and fewer tasks
  --log F    write the roles' log lines that pass filter F to standard error, such as info
  --help     show this help

The last line is one JSON object, counted from what the stand-in endpoints and the callers
saw. Exits 1 when a promise was broken.
";

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<Exit, CliError> {
    use lexopt::prelude::*;
    let mut options = DemoOptions::default();
    let mut jobs = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("jobs") => jobs = Some(parse_number("--jobs", &parser.value()?.string()?)?),
            Long("seed") => options.seed = parse_number("--seed", &parser.value()?.string()?)?,
            Long("log") => options.log = Some(parser.value()?.string()?),
            Long("quick") => options.quick = true,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Done);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    options.jobs = match (jobs, options.quick) {
        (Some(jobs), _) => jobs,
        (None, true) => demo::QUICK_JOBS,
        (None, false) => demo::DEFAULT_JOBS,
    };
    let report = demo::run(&options)?;
    println!("{}", report.to_json());
    Ok(match report.keeps_promises() {
        true => Exit::Done,
        false => Exit::Failed,
    })
}
