//! `hemlock-entry`: takes callers' requests and places them on endpoints.

use std::path::PathBuf;
use std::process::ExitCode;

use hemlock_entry::{Entry, EntryError};
use hemlock_settings::prelude::*;
use hemlock_telemetry::prelude::*;
use quick_error::quick_error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::error;

/// What the program says about its arguments.
const USAGE: &str = "\
Takes callers' requests and places them on endpoints.

Usage: hemlock-entry --settings FILE

  --settings FILE  settings in YAML
  --help           this text

SIGTERM begins a planned stop: nothing more is admitted, what runs is finished and answered.
";
/// Exit code for arguments or settings that can't be used.
const EXIT_USAGE: u8 = 2;

quick_error! {
    /// Why the program ends without having served.
    #[derive(Debug)]
    enum ProgramError {
        /// The arguments can't be used.
        Arguments(source: lexopt::Error) {
            display("{source}; see --help")
            from()
        }
        /// No settings file was named.
        NoSettings {
            display("name a settings file with --settings FILE; see --help")
        }
        /// The settings can't be used.
        Settings(source: SettingsError) {
            display("{source}")
            from()
        }
        /// Logs or counters can't be set up.
        Telemetry(source: TelemetryError) {
            display("{source}")
            from()
        }
        /// The entry can't be started.
        Entry(source: EntryError) {
            display("{source}")
            from()
        }
        /// Signals can't be waited for.
        Signals(source: std::io::Error) {
            display("signals can't be waited for: {source}")
            from()
        }
    }
}

/// The settings file that the arguments name; `None` when help was asked for.
fn settings_file() -> Result<Option<PathBuf>, ProgramError> {
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

/// Serves until a planned stop has ended.
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
    match settings_file()? {
        Some(file) => serve(&file),
        None => {
            print!("{USAGE}");
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let Err(fault) = run() else {
        return ExitCode::SUCCESS;
    };
    eprintln!("hemlock-entry: {fault}");
    match fault {
        ProgramError::Arguments(_) | ProgramError::NoSettings | ProgramError::Settings(_) => {
            ExitCode::from(EXIT_USAGE)
        }
        other => {
            error!(event = "entry-failed", reason = %other);
            ExitCode::FAILURE
        }
    }
}
