//! Errors of the program and their exit codes.

#![expect(
    unreachable_pub,
    reason = "the macro knows only `pub` and private types"
)]

use std::io;

use hemlock_keeper::error::KeeperError;
use hemlock_settings::prelude::SettingsError;
use hemlock_telemetry::prelude::TelemetryError;
use quick_error::quick_error;

/// Exit code if the keeper failed.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

quick_error! {
    /// Error that ends the program.
    #[derive(Debug)]
    pub enum ProgramError {
        /// The command line is invalid.
        Usage(source: lexopt::Error) {
            display("{}; see --help", source)
            source(source)
            from()
        }
        /// No settings file was given.
        NoSettings {
            display("--settings FILE is missing; see --help")
        }
        /// The settings are invalid.
        Settings(source: SettingsError) {
            display("{}", source)
            source(source)
            from()
        }
        /// Can't install the signal handlers.
        Signals(source: io::Error) {
            display("can't install signal handlers: {}", source)
            source(source)
        }
        /// Can't set up logs or metrics.
        Telemetry(source: TelemetryError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The keeper failed to start or failed while it was running.
        Keeper(source: KeeperError) {
            display("{}", source)
            source(source)
            from()
        }
    }
}

impl ProgramError {
    /// Exit code of the program for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::NoSettings | Self::Settings(_) => EXIT_USAGE,
            Self::Signals(_) | Self::Telemetry(_) | Self::Keeper(_) => EXIT_FAILED,
        }
    }
}
