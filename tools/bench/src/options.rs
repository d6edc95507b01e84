//! Command-line options.

use lexopt::prelude::*;

use crate::error::BenchError;

/// Output of `--help`.
pub(crate) const HELP: &str = "\
hemlock-bench SCENARIO [options]

Scenarios
  latency          response time and wasted messages by policy, compared with an ideal queue
  faults           the same with failing, slow, killed and stopping endpoints
  throughput       task starts per second of one entry
  decisions        nanoseconds per decision of the router and of the gate
  claims           ledger claims per second by concurrency
  keeper-loss      leading keeper killed under load, then another after its repair
  contract-change  hundreds of conflicting and repeated contract changes under load
  slopes           resource use of each role by endpoints, entries and contracts
  report           one HTML page with plots, from recorded latency figures on standard input
  capacity         the capacity page's figures, from recorded slopes on standard input
  soak             random faults for minutes, with every guarantee checked from outside

Options
  --seed S             seed of every random choice            [1]
  --format json        the only format of the last line
  --deployment NAME    loovutusliit | sablah                  [loovutusliit]
  --load L             offered load / capacity                [0.7]
  --entries N          entry processes                        [2]
  --endpoints N        endpoint instances                     [11]
  --policy P           a policy; may be repeated              [all]
  --seconds S          length of the trace of each policy
  --keyed              non-idempotent requests with a key instead of searches
  --minutes M          length of a soak                       [10]
  --sync-delay-ms D    delay added to each sync of a keeper   [0]
  --changes N          contract changes                       [300]
  --jobs N             jobs of a throughput run";

/// Values of the command line, with defaults for options that are not given.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) help: bool,
    pub(crate) scenario: String,
    pub(crate) seed: u64,
    pub(crate) deployment: Deployment,
    pub(crate) load: f64,
    pub(crate) entries: usize,
    pub(crate) endpoints: usize,
    pub(crate) policies: Vec<String>,
    pub(crate) seconds: Option<u64>,
    pub(crate) keyed: bool,
    pub(crate) minutes: u64,
    pub(crate) sync_delay_ms: u64,
    pub(crate) changes: u64,
    pub(crate) jobs: Option<u64>,
}

/// Deployment that a scenario models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deployment {
    /// Four failure domains, search traffic.
    Loovutusliit,
    /// Three failure domains, booking traffic.
    Sablah,
}

impl Deployment {
    /// Returns the name on the command line and in figures.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Loovutusliit => "loovutusliit",
            Self::Sablah => "sablah",
        }
    }

    /// Returns the service that its endpoints offer.
    pub(crate) fn service(self) -> &'static str {
        match self {
            Self::Loovutusliit => "loovutus-portaal",
            Self::Sablah => "allocate",
        }
    }

    /// Returns its failure domains.
    pub(crate) fn domains(self) -> &'static [&'static str] {
        match self {
            Self::Loovutusliit => &["harju-1", "harju-2", "emajogi", "parnu-laht"],
            Self::Sablah => &["muscat-a", "muscat-b", "muscat-c"],
        }
    }

    /// Returns the one-way latency between its failure domains, in microseconds.
    pub(crate) fn domain_latency_us(self) -> u64 {
        match self {
            Self::Loovutusliit => 1_500,
            Self::Sablah => 1_000,
        }
    }

    /// Returns the one-way latency to its clients, in microseconds.
    pub(crate) fn client_latency_us(self) -> u64 {
        match self {
            Self::Loovutusliit => 1_000,
            Self::Sablah => 3_000,
        }
    }
}

impl Options {
    /// Parses the arguments of the process.
    ///
    /// # Errors
    ///
    /// [`BenchError::Usage`] with the invalid argument.
    pub(crate) fn from_args() -> Result<Self, BenchError> {
        let mut options = Self::defaults();
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Value(name) if options.scenario.is_empty() => options.scenario = name.string()?,
                Short('h') | Long("help") => options.help = true,
                Long("seed") => options.seed = parser.value()?.parse()?,
                Long("deployment") => {
                    options.deployment = parser.value()?.parse_with(deployment)?;
                }
                Long("load") => options.load = parser.value()?.parse()?,
                Long("entries") => options.entries = parser.value()?.parse()?,
                Long("endpoints") => options.endpoints = parser.value()?.parse()?,
                Long("policy") => options.policies.push(parser.value()?.string()?),
                Long("seconds") => options.seconds = Some(parser.value()?.parse()?),
                Long("keyed") => options.keyed = true,
                Long("minutes") => options.minutes = parser.value()?.parse()?,
                Long("sync-delay-ms") => options.sync_delay_ms = parser.value()?.parse()?,
                Long("changes") => options.changes = parser.value()?.parse()?,
                Long("jobs") => options.jobs = Some(parser.value()?.parse()?),
                Long("format") => parser.value()?.parse_with(json_format)?,
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }

    fn defaults() -> Self {
        Self {
            help: false,
            scenario: String::new(),
            seed: 1,
            deployment: Deployment::Loovutusliit,
            load: 0.7,
            entries: 2,
            endpoints: 11,
            policies: Vec::new(),
            seconds: None,
            keyed: false,
            minutes: 10,
            sync_delay_ms: 0,
            changes: 300,
            jobs: None,
        }
    }
}

fn deployment(name: &str) -> Result<Deployment, &'static str> {
    match name {
        "loovutusliit" => Ok(Deployment::Loovutusliit),
        "sablah" => Ok(Deployment::Sablah),
        _ => Err("expected loovutusliit or sablah"),
    }
}

fn json_format(name: &str) -> Result<(), &'static str> {
    match name {
        "json" => Ok(()),
        _ => Err("expected json"),
    }
}
