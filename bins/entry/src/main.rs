//! `hemlock-entry`: receives callers' requests and dispatches them to endpoints.

use std::path::PathBuf;
use std::process::ExitCode;

use hemlock_entry::{Entry, EntryError};
use hemlock_settings::prelude::*;
use hemlock_telemetry::prelude::*;
use quick_error::quick_error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::error;

/// Text of `--help`.
const HELP: &str = "\
Receives callers' requests and dispatches them to endpoints.

Usage: hemlock-entry --settings FILE

  --settings FILE  settings in YAML
  --help           print this help

On SIGTERM or SIGINT the entry refuses new requests, finishes and answers the admitted ones, and
exits with status 0.
";
/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

quick_error! {
    /// Error that ends the program.
    #[derive(Debug)]
    enum ProgramError {
        /// The arguments are invalid.
        Arguments(source: lexopt::Error) {
            display("{source}; see --help")
            from()
        }
        /// No settings file was given.
        NoSettings {
            display("--settings FILE is missing; see --help")
        }
        /// The settings are invalid.
        Settings(source: SettingsError) {
            display("{source}")
            from()
        }
        /// Can't set up logs or metrics.
        Telemetry(source: TelemetryError) {
            display("{source}")
            from()
        }
        /// The entry failed to start.
        Entry(source: EntryError) {
            display("{source}")
            from()
        }
        /// Can't install the signal handlers.
        Signals(source: std::io::Error) {
            display("can't install signal handlers: {source}")
            from()
        }
    }
}

/// Parses the arguments. Returns the settings file, or `None` if `--help` was given.
fn parse_arguments() -> Result<Option<PathBuf>, ProgramError> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let mut file = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    file.map(Some).ok_or(ProgramError::NoSettings)
}

/// Runs the entry until it has drained after a signal.
fn serve(file: &std::path::Path) -> Result<(), ProgramError> {
    let settings: EntrySettings = load(file)?;
    let _log_writer = start(&TelemetryConfig::default().with_stdout())?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let entry = Entry::start(settings)?;
    let handle = signals.handle();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in signals.forever() {
                entry.begin_drain();
            }
        });
        entry.join();
        handle.close();
    });
    Ok(())
}

fn run() -> Result<(), ProgramError> {
    match parse_arguments()? {
        Some(file) => serve(&file),
        None => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let Err(error) = run() else {
        return ExitCode::SUCCESS;
    };
    eprintln!("hemlock-entry: {error}");
    match error {
        ProgramError::Arguments(_) | ProgramError::NoSettings | ProgramError::Settings(_) => {
            ExitCode::from(EXIT_USAGE)
        }
        other => {
            error!(event = "entry-failed", reason = %other);
            ExitCode::FAILURE
        }
    }
}
