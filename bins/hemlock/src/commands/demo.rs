//! `hemlock demo`: runs a whole cluster in this process and sends work to it.

use crate::demo::{self, DemoOptions};
use crate::error::CliError;
use crate::exit::Exit;
use crate::options::parse_number;

const HELP: &str = "\
hemlock demo: runs 3 keepers, 2 entries, 3 agents and their stand-in endpoints in this
process on loopback, and sends requests and jobs to them

Usage: hemlock demo [OPTIONS]

  --jobs N   submissions to send (default 240)
  --seed S   seed of the generated work (default 1)
  --quick    fewer and shorter tasks
  --log F    write the roles' logs to standard error, with a log filter such as info
  --help     show this help

The last line of the output is a JSON report, counted by the stand-in endpoints and the
callers. Exits with status 1 if a guarantee of the system was violated.
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
    Ok(match report.meets_guarantees() {
        true => Exit::Done,
        false => Exit::Failed,
    })
}
