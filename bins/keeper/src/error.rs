//! Why the program ends with a fault.

#![expect(
    unreachable_pub,
    reason = "the macro knows only `pub` and private types"
)]

use std::io;

use hemlock_keeper::error::KeeperError;
use hemlock_settings::prelude::SettingsError;
use hemlock_telemetry::prelude::TelemetryError;
use quick_error::quick_error;

/// Exit status when the keeper could not go on.
const EXIT_FAILED: u8 = 1;
/// Exit status when the command line or the settings are wrong.
const EXIT_USAGE: u8 = 2;

quick_error! {
    /// Why the program ends with a fault.
    #[derive(Debug)]
    pub enum ProgramError {
        /// The command line is wrong.
        Usage(source: lexopt::Error) {
            display("{}; see --help", source)
            source(source)
            from()
        }
        /// No settings file is given.
        NoSettings {
            display("--settings FILE is needed; see --help")
        }
        /// The settings are wrong.
        Settings(source: SettingsError) {
            display("{}", source)
            source(source)
            from()
        }
        /// Signals can't be received.
        Signals(source: io::Error) {
            display("can't receive signals: {}", source)
            source(source)
        }
        /// Logs or metrics can't be set up.
        Telemetry(source: TelemetryError) {
            display("{}", source)
            source(source)
            from()
        }
        /// The keeper can't start, or could not go on.
        Keeper(source: KeeperError) {
            display("{}", source)
            source(source)
            from()
        }
    }
}

impl ProgramError {
    /// The exit status that tells of it.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::NoSettings | Self::Settings(_) => EXIT_USAGE,
            Self::Signals(_) | Self::Telemetry(_) | Self::Keeper(_) => EXIT_FAILED,
        }
    }
}
