//! `hemlock-keeper`: runs one keeper until it is stopped by a signal.

mod arguments;
mod error;

use std::process::ExitCode;
use std::time::Duration;

use hemlock_keeper::{Keeper, KeeperHandle};
use hemlock_settings::prelude::*;
use hemlock_telemetry::TelemetryConfig;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use arguments::{Arguments, HELP};
use error::ProgramError;

/// Interval at which the program checks for signals, in milliseconds.
const SIGNAL_POLL_INTERVAL_MS: u64 = 50;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hemlock-keeper: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), ProgramError> {
    let Arguments::Run { settings } = arguments::read()? else {
        println!("{HELP}");
        return Ok(());
    };
    let settings: KeeperSettings = load(&settings)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(ProgramError::Signals)?;
    let _log_writer = hemlock_telemetry::start(&TelemetryConfig::default().with_stdout())?;
    let keeper = Keeper::start(settings)?;
    tracing::info!(
        incarnation = %keeper.incarnation(),
        wire_address = %keeper.wire_address(),
        http_address = %keeper.http_address(),
        "started"
    );
    wait_until_stopped(&keeper, &mut signals);
    keeper.join()?;
    tracing::info!("ended");
    Ok(())
}

/// Waits until the keeper has stopped, after a signal or a failure.
fn wait_until_stopped(keeper: &KeeperHandle, signals: &mut Signals) {
    while !keeper.is_finished() {
        if signals.pending().next().is_some() {
            keeper.begin_drain();
        }
        std::thread::sleep(Duration::from_millis(SIGNAL_POLL_INTERVAL_MS));
    }
}
