//! `hemlock`: the operators' command line, and a demonstration of the whole system.

mod commands;
mod demo;
mod error;
mod exit;
mod operator;
mod options;
mod output;

use std::process::ExitCode;

use crate::error::CliError;
use crate::exit::Exit;

const HELP: &str = "\
hemlock: operates a hemlockridge cluster

Usage: hemlock COMMAND [OPTIONS]

Commands:
  demo        run every role in this process and send work through it
  check       check settings and contract files
  contract    apply, get, list or diff contracts
  stop        announce, list or lift planned stops
  endpoints   list the endpoints that keepers know of
  status      show the cluster's state
  keepers     list, add, replace or remove keepers
  submit      send a request or a job to an entry

`hemlock COMMAND --help` says more.

Exit codes:
  0  done
  1  a promise was broken, the work failed, or files differ
  2  wrong usage, or a file with faults
  3  refused; nothing was run or changed
  4  nothing reachable could do it; nothing was run or changed
  5  the answer was lost; it may have been run or changed, and may be sent again
";

fn main() -> ExitCode {
    let result = run(lexopt::Parser::from_env());
    let exit = result.unwrap_or_else(|error| {
        eprintln!("hemlock: {error}");
        error.exit()
    });
    exit.into()
}

fn run(mut parser: lexopt::Parser) -> Result<Exit, CliError> {
    use lexopt::prelude::*;
    let Some(argument) = parser.next()? else {
        eprint!("{HELP}");
        return Ok(Exit::Usage);
    };
    match argument {
        Short('h') | Long("help") => {
            print!("{HELP}");
            Ok(Exit::Done)
        }
        Short('V') | Long("version") => {
            println!("hemlock {}", env!("CARGO_PKG_VERSION"));
            Ok(Exit::Done)
        }
        Value(command) => commands::run(&command.string()?, parser),
        other => Err(other.unexpected().into()),
    }
}
