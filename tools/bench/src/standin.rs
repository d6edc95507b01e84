//! `hemlock-standin` runs stand-in endpoints in a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use hemlock_standin::prelude::*;
use quick_error::quick_error;
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

const HELP: &str = "\
Serves stand-in endpoints for demonstrations and measurements.

Usage: hemlock-standin --service NAME [options]

Options:
  --service NAME         name of the service
  --address IP:PORT      where the first listens; the next ones take the ports after it;
                         port 0 takes free ones (default 127.0.0.1:0)
  --count N              how many (default 1)
  --threads N            threads that serve them all (default 1)
  --seed S               seed of all random choices (default 1)
  --work-ms FROM..TO     service time of a request that does not state its own (default 0..0)
  --long PERCENT..TO     share of longer requests, and the longest in milliseconds
  --fail PERCENT         answered 500 at once
  --cut PERCENT          cut once the request has arrived
  --truncate PERCENT     answered in part
  --double PERCENT       answered twice
  --cross PERCENT        answered without the request's own key and task
  --hang PERCENT         never answered
  --slow FACTOR          factor on the time that a request takes
  -h, --help             print this

Prints one JSON line with the addresses, and one with request counts when SIGTERM or SIGINT
ends it.
Exit status: 0 after a signal, 1 if an address can't be used, 2 for wrong arguments.
";

quick_error! {
    /// Error that ends the program.
    #[derive(Debug)]
    enum ProgramError {
        Arguments(error: lexopt::Error) {
            from()
            display("{}\nTry hemlock-standin --help.", error)
        }
        Range(text: String) {
            display("{}: expected FROM..TO\nTry hemlock-standin --help.", text)
        }
        Percent(text: String) {
            display("{}: expected 0 to 100\nTry hemlock-standin --help.", text)
        }
        NoService {
            display("--service NAME is missing. Try hemlock-standin --help.")
        }
        Ports {
            display("--count: there are not that many ports after --address")
        }
        Signals(error: std::io::Error) {
            from()
            display("can't wait for signals: {}", error)
        }
        Standin(error: StandinError) {
            from()
            display("{}", error)
        }
        Json(error: serde_json::Error) {
            from()
            display("can't write JSON: {}", error)
        }
    }
}

impl ProgramError {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Standin(_) | Self::Signals(_) | Self::Json(_) => ExitCode::FAILURE,
            _ => ExitCode::from(2),
        }
    }
}

/// Addresses of the endpoints, printed as the first line.
#[derive(Serialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
}

/// Values of the command line, with defaults for options that are not given.
struct Arguments {
    service: String,
    address: SocketAddr,
    count: u16,
    threads: usize,
    seed: u64,
    service_time: ServiceTime,
    faults: Faults,
}

fn main() -> ExitCode {
    let result = parse_arguments().and_then(|arguments| match arguments {
        Some(arguments) => serve(&arguments),
        None => {
            print!("{HELP}");
            Ok(())
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hemlock-standin: {error}");
            error.exit_code()
        }
    }
}

/// Parses the command line; returns `None` for `--help`.
fn parse_arguments() -> Result<Option<Arguments>, ProgramError> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let mut service = None;
    let mut arguments = Arguments {
        service: String::new(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        count: 1,
        threads: 1,
        seed: 1,
        service_time: ServiceTime::Fixed { ms: 0 },
        faults: Faults::default(),
    };
    let mut work_ms = (0, 0);
    let mut long = None;
    while let Some(argument) = parser.next()? {
        let faults = &mut arguments.faults;
        match argument {
            Long("service") => service = Some(parser.value()?.string()?),
            Long("address") => arguments.address = parser.value()?.parse()?,
            Long("count") => arguments.count = parser.value()?.parse()?,
            Long("threads") => arguments.threads = parser.value()?.parse()?,
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("work-ms") => work_ms = parse_range(&parser.value()?.string()?)?,
            Long("long") => long = Some(parse_range(&parser.value()?.string()?)?),
            Long("fail") => faults.fail_percent = percent(&mut parser)?,
            Long("cut") => faults.cut_percent = percent(&mut parser)?,
            Long("truncate") => faults.truncate_percent = percent(&mut parser)?,
            Long("double") => faults.double_percent = percent(&mut parser)?,
            Long("cross") => faults.cross_percent = percent(&mut parser)?,
            Long("hang") => faults.hang_percent = percent(&mut parser)?,
            Long("slow") => faults.slow_factor = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    arguments.service = service.ok_or(ProgramError::NoService)?;
    arguments.service_time = service_time(work_ms, long)?;
    Ok(Some(arguments))
}

fn parse_range(text: &str) -> Result<(u64, u64), ProgramError> {
    let invalid = || ProgramError::Range(text.to_owned());
    let (from, to) = text.split_once("..").ok_or_else(invalid)?;
    let from = from.parse().map_err(|_| invalid())?;
    let to = to.parse().map_err(|_| invalid())?;
    match from <= to {
        true => Ok((from, to)),
        false => Err(invalid()),
    }
}

fn percent(parser: &mut lexopt::Parser) -> Result<u8, ProgramError> {
    use lexopt::prelude::*;
    parse_percent(&parser.value()?.string()?)
}

fn parse_percent(text: &str) -> Result<u8, ProgramError> {
    let percent = text.parse().ok().filter(|percent| *percent <= 100);
    percent.ok_or_else(|| ProgramError::Percent(text.to_owned()))
}

fn service_time(
    (from_ms, to_ms): (u64, u64),
    long: Option<(u64, u64)>,
) -> Result<ServiceTime, ProgramError> {
    let Some((percent, long_to_ms)) = long else {
        return Ok(ServiceTime::Uniform { from_ms, to_ms });
    };
    Ok(ServiceTime::Mixed {
        from_ms,
        to_ms,
        long_percent: parse_percent(&percent.to_string())?,
        long_to_ms,
    })
}

fn serve(arguments: &Arguments) -> Result<(), ProgramError> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let host = StandinHost::start(arguments.threads)?;
    let endpoints = (0..arguments.count)
        .map(|index| Ok(host.add(config(arguments, index)?)?))
        .collect::<Result<Vec<_>, ProgramError>>()?;
    let addresses = endpoints.iter().map(StandinEndpoint::address).collect();
    println!("{}", serde_json::to_string(&Addresses { addresses })?);
    let _ = signals.forever().next();
    let counts = endpoints
        .into_iter()
        .map(StandinEndpoint::stop)
        .fold(RequestCounts::default(), RequestCounts::plus);
    println!("{}", serde_json::to_string(&counts)?);
    Ok(())
}

fn config(arguments: &Arguments, index: u16) -> Result<StandinConfig, ProgramError> {
    let mut address = arguments.address;
    if address.port() != 0 {
        let port = address.port().checked_add(index);
        address.set_port(port.ok_or(ProgramError::Ports)?);
    }
    Ok(StandinConfig::new(arguments.service.clone())
        .with_address(address)
        .with_service_time(arguments.service_time)
        .with_faults(arguments.faults)
        .with_seed(arguments.seed + u64::from(index)))
}
