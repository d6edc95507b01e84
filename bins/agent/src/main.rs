//! `hemlock-agent`: runs beside one endpoint instance and sends it the tasks to run.

use std::path::PathBuf;
use std::process::ExitCode;

use hemlock_agent::prelude::*;
use hemlock_settings::prelude::*;
use hemlock_telemetry::prelude::*;
use quick_error::quick_error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

const HELP: &str = "\
Runs beside one endpoint instance and sends it the tasks to run.

Usage: hemlock-agent --settings FILE

Options:
  --settings FILE  YAML file with the settings; `hemlock check FILE` validates it
  -h, --help       print this help
  -V, --version    print the version

On SIGTERM or SIGINT the agent refuses new tasks, finishes the running ones and exits.
Exit status: 0 after a signal, 1 if it can't start, 2 for invalid arguments or settings.
";

quick_error! {
    /// Error that ends the program.
    #[derive(Debug)]
    enum ProgramError {
        Arguments(error: lexopt::Error) {
            from()
            display("{}\nTry hemlock-agent --help.", error)
        }
        NoSettings {
            display("--settings FILE is missing. Try hemlock-agent --help.")
        }
        Settings(file: PathBuf, error: SettingsError) {
            display("{}: {}", file.display(), error)
        }
        Telemetry(error: TelemetryError) {
            from()
            display("{}", error)
        }
        Signals(error: std::io::Error) {
            from()
            display("can't install signal handlers: {}", error)
        }
        Agent(error: AgentError) {
            from()
            display("{}", error)
        }
    }
}

impl ProgramError {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Arguments(_) | Self::NoSettings | Self::Settings(..) => ExitCode::from(2),
            _ => ExitCode::FAILURE,
        }
    }
}

/// Parsed command line.
enum Request {
    Run(PathBuf),
    Help,
    Version,
}

fn main() -> ExitCode {
    match parse_arguments().and_then(handle_request) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hemlock-agent: {error}");
            error.exit_code()
        }
    }
}

fn parse_arguments() -> Result<Request, ProgramError> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let mut file = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => return Ok(Request::Help),
            Short('V') | Long("version") => return Ok(Request::Version),
            _ => return Err(argument.unexpected().into()),
        }
    }
    file.map(Request::Run).ok_or(ProgramError::NoSettings)
}

fn handle_request(request: Request) -> Result<(), ProgramError> {
    match request {
        Request::Help => print!("{HELP}"),
        Request::Version => println!("hemlock-agent {}", env!("CARGO_PKG_VERSION")),
        Request::Run(file) => run(file)?,
    }
    Ok(())
}

fn run(file: PathBuf) -> Result<(), ProgramError> {
    let settings = hemlock_settings::document::load::<AgentSettings>(&file)
        .map_err(|error| ProgramError::Settings(file, error))?;
    let _log_writer = hemlock_telemetry::start(&TelemetryConfig::default().with_stdout())?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let agent = Agent::start(settings)?;
    tracing::info!(
        agent = %agent.incarnation(),
        wire_address = %agent.wire_address(),
        http_address = %agent.http_address(),
        "agent started"
    );
    if signals.forever().next().is_some() {
        tracing::info!("received a signal; draining");
        agent.stop();
    }
    agent.join();
    tracing::info!("agent stopped");
    Ok(())
}
