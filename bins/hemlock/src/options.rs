//! Options that are common to several commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::error::CliError;
use crate::output::Format;

/// Environment variable with the HTTP addresses of keepers.
const KEEPERS_VARIABLE: &str = "HEMLOCK_KEEPERS";
/// Environment variable with the API key.
const KEY_VARIABLE: &str = "HEMLOCK_KEY";

/// Help text of [`OperatorOptions`].
pub(crate) const OPERATOR_HELP: &str = "\
  --keepers A,B,..   HTTP addresses of keepers, at least one (or HEMLOCK_KEEPERS)
  --key-file FILE    file with the operator's key (or the key itself in HEMLOCK_KEY)
  --format FORMAT    table (default) or json
  --help             show this help
";

/// Addresses of the keepers, the operator's key and the output format.
#[derive(Debug, Default)]
pub(crate) struct OperatorOptions {
    keepers: Vec<SocketAddr>,
    key_file: Option<PathBuf>,
    pub(crate) format: Format,
}

impl OperatorOptions {
    /// Parses the value of a common option. Any other option is an error.
    pub(crate) fn parse_option(
        &mut self,
        option: &str,
        parser: &mut lexopt::Parser,
    ) -> Result<(), CliError> {
        use lexopt::ValueExt;
        match option {
            "keepers" => self.keepers = parse_addresses("--keepers", &parser.value()?.string()?)?,
            "key-file" => self.key_file = Some(parser.value()?.into()),
            "format" => self.format = Format::parse(&parser.value()?.string()?)?,
            other => return Err(lexopt::Error::UnexpectedOption(format!("--{other}")).into()),
        }
        Ok(())
    }

    /// The keepers' addresses, from the option or the environment.
    pub(crate) fn keepers(&self) -> Result<Vec<SocketAddr>, CliError> {
        match (self.keepers.is_empty(), std::env::var(KEEPERS_VARIABLE)) {
            (false, _) => Ok(self.keepers.clone()),
            (true, Ok(list)) => parse_addresses(KEEPERS_VARIABLE, &list),
            (true, Err(_)) => Err(CliError::Missing(
                "--keepers",
                "give the HTTP address of at least one keeper, such as 127.0.0.1:7201",
            )),
        }
    }

    /// The operator's key, from the file or the environment.
    pub(crate) fn key(&self) -> Result<String, CliError> {
        read_key(self.key_file.as_ref())
    }
}

/// Reads the key from the file, or from the environment if no file is given.
pub(crate) fn read_key(file: Option<&PathBuf>) -> Result<String, CliError> {
    let advice = "give the file that holds the key, or set HEMLOCK_KEY";
    read_secret(file, KEY_VARIABLE, "--key-file", advice)
}

/// Reads a secret from the file, or from the environment variable if no file is given.
pub(crate) fn read_secret(
    file: Option<&PathBuf>,
    variable: &str,
    option: &'static str,
    advice: &'static str,
) -> Result<String, CliError> {
    let key = match (file, std::env::var(variable)) {
        (Some(path), _) => {
            std::fs::read_to_string(path).map_err(|error| CliError::Read(path.clone(), error))?
        }
        (None, Ok(key)) => key,
        (None, Err(_)) => return Err(CliError::Missing(option, advice)),
    };
    let key = key.trim_end_matches(['\r', '\n']).to_owned();
    let printable = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    match printable {
        true => Ok(key),
        false => Err(CliError::BadKey),
    }
}

/// Parses a comma-separated list of addresses.
pub(crate) fn parse_addresses(
    option: &'static str,
    list: &str,
) -> Result<Vec<SocketAddr>, CliError> {
    let expects = "IP addresses and ports, separated by commas";
    list.split(',')
        .map(|item| item.trim().parse())
        .collect::<Result<_, _>>()
        .map_err(|_| CliError::BadValue(option, list.to_owned(), expects))
}

/// Parses a whole number.
pub(crate) fn parse_number(option: &'static str, text: &str) -> Result<u64, CliError> {
    text.parse()
        .map_err(|_| CliError::BadValue(option, text.to_owned(), "a whole number"))
}
