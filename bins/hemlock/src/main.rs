//! `hemlock`: the command line for operators, with a demonstration of the whole system.

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
  demo        run a whole cluster in this process and send work to it
  check       validate settings and contract files
  contract    apply, get, list or diff contracts
  stop        announce, list or lift planned stops
  endpoints   list the endpoints that are registered with the keepers
  evacuations list, begin or end evacuations of failure domains
  status      show the state of the cluster
  keepers     list, add, replace or remove keepers
  submit      send a request or a job to an entry

`hemlock COMMAND --help` shows the options of a command.

Exit codes:
  0  success
  1  a guarantee was violated, the work failed, or contracts differ
  2  invalid arguments, or an invalid file
  3  the request was refused; nothing was run or changed
  4  no reachable server could handle the request; nothing was run or changed
  5  the answer was lost; the request may have been executed, and may be sent again
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
