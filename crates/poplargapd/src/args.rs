//! The daemon's command line.

use {
    displaydoc::Display,
    pico_args::Arguments,
    std::{ffi::OsString, path::PathBuf},
};

/// Text of `--help`.
pub const HELP: &str = "\
poplargapd: the daemon of the poplargap router fleet

Usage: poplargapd --settings FILE [--check]
       poplargapd --platform

Options:
  --settings FILE  Read the settings from FILE (INI)
  --platform       Forward the platform's requests, with the settings file that it names
  --check          Check the settings, print every finding, and end
  --help           Print this help and end
  --version        Print the version and end

Example: poplargapd --settings /etc/poplargap/daemon.ini

Exit codes:
  0  closed without cutting off a request
  1  failed, or a request was cut off
  2  the command line or the settings are wrong
";

/// The command that the command line names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonCommand {
    /// Check the settings file.
    Check(PathBuf),
    /// Print the help.
    Help,
    /// Forward the platform's requests.
    Platform,
    /// Run with the settings file.
    Run(PathBuf),
    /// Print the version.
    Version,
}

/// Why a command line is invalid.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ArgsError {
    /// {0}; see poplargapd --help
    Malformed(String),
    /// --settings FILE is missing; see poplargapd --help
    NoSettings,
    /// --platform goes without --settings; see poplargapd --help
    TwoModes,
    /// the argument `{0}` is unknown; see poplargapd --help
    Unknown(String),
}

impl std::error::Error for ArgsError {}

impl TryFrom<Vec<OsString>> for DaemonCommand {
    type Error = ArgsError;

    fn try_from(args: Vec<OsString>) -> Result<Self, ArgsError> {
        let mut args = Arguments::from_vec(args);
        if args.contains("--help") {
            return Ok(Self::Help);
        }
        if args.contains("--version") {
            return Ok(Self::Version);
        }
        let platform = args.contains("--platform");
        let check = args.contains("--check");
        let settings: Option<PathBuf> = args
            .opt_value_from_str("--settings")
            .map_err(|error| ArgsError::Malformed(error.to_string()))?;
        if let Some(unknown) = args.finish().first() {
            return Err(ArgsError::Unknown(unknown.to_string_lossy().into_owned()));
        }
        if platform {
            return match settings {
                Some(_) => Err(ArgsError::TwoModes),
                None => Ok(Self::Platform),
            };
        }
        let file = settings.ok_or(ArgsError::NoSettings)?;
        Ok(if check {
            Self::Check(file)
        } else {
            Self::Run(file)
        })
    }
}
