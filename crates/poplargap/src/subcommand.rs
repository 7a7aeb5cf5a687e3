//! The commands.

mod apply;
mod check;
mod diff;
mod drain;
mod explain;
mod get;
mod history;
mod rollback;
mod single_edit;
mod status;

use {
    crate::{CommandError, CommandOptions, CommandOutput},
    pico_args::Arguments,
    poplargap_core::{
        catalogue::{EntryKind, EntryRef},
        finding::nearest_word,
    },
    std::io::Write,
    strum::{EnumString, IntoStaticStr, VariantNames},
};

/// Help text of the whole program.
pub(crate) const HELP: &str = "\
Operators' command line of the poplargap router fleet.

Usage: poplargap COMMAND [OPTION…]

Commands:
  apply     write declarations to the catalogue
  check     report all faults of declarations
  diff      show what applying declarations would change
  drain     give an upstream no new work
  explain   show what daemons did with a request
  get       print entries of the catalogue
  history   list the versions of an entry
  rollback  write an earlier version of an entry as a new one
  status    show the revision in force on every daemon, oldest first

Options of all commands:
  --calls-per-second NUMBER
                      most calls to the store in any second (default 100)
  --json              write one JSON object a line
  --settle DURATION   longest time in which a lost answer is resolved (default 15s)
  --store ADDRESS     the platform's store (default: variable POPLARGAP_STORE)
  --timeout DURATION  longest wait for one answer (default 2s)
  -h, --help          show help; `poplargap COMMAND --help` shows an example
  -V, --version       show the version

Exit codes:
  0  done
  1  failed
  2  the command line or a file has faults
  3  conflict: an edit is based on a version that is no longer in force
  4  it isn't known whether a write took effect

Example:
  poplargap check catalogue/*.ini && poplargap apply catalogue/*.ini
";

/// Name of a command.
#[derive(Clone, Copy, Debug, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum SubcommandName {
    Apply,
    Check,
    Diff,
    Drain,
    Explain,
    Get,
    History,
    Rollback,
    Status,
}

impl SubcommandName {
    pub(crate) fn help(self) -> &'static str {
        match self {
            Self::Apply => apply::HELP,
            Self::Check => check::HELP,
            Self::Diff => diff::HELP,
            Self::Drain => drain::HELP,
            Self::Explain => explain::HELP,
            Self::Get => get::HELP,
            Self::History => history::HELP,
            Self::Rollback => rollback::HELP,
            Self::Status => status::HELP,
        }
    }

    pub(crate) fn parse(name: &str) -> Result<Self, CommandError> {
        name.parse().map_err(|_error| {
            let hint = did_you_mean(nearest_word(name, Self::VARIANTS.iter().copied()));
            CommandError::Arguments(format!("`{name}` is no command{hint}"))
        })
    }

    pub(crate) async fn run<W: Write>(
        self,
        arguments: Arguments,
        options: &CommandOptions,
        output: &mut CommandOutput<'_, W>,
    ) -> Result<(), CommandError> {
        match self {
            Self::Apply => apply::run(arguments, options, output).await,
            Self::Check => check::run(arguments, options, output).await,
            Self::Diff => diff::run(arguments, options, output).await,
            Self::Drain => drain::run(arguments, options, output).await,
            Self::Explain => explain::run(arguments, options, output).await,
            Self::Get => get::run(arguments, options, output).await,
            Self::History => history::run(arguments, options, output).await,
            Self::Rollback => rollback::run(arguments, options, output).await,
            Self::Status => status::run(arguments, options, output).await,
        }
    }
}

fn did_you_mean(word: Option<&str>) -> String {
    word.map(|word| format!("; did you mean `{word}`?"))
        .unwrap_or_default()
}

fn parse_entry(kind: &str, name: &str) -> Result<EntryRef, CommandError> {
    let kind = parse_kind(kind)?;
    let name = name.to_owned();
    Ok(EntryRef { kind, name })
}

fn parse_kind(kind: &str) -> Result<EntryKind, CommandError> {
    kind.parse().map_err(|_error| {
        let hint = did_you_mean(nearest_word(kind, EntryKind::VARIANTS.iter().copied()));
        CommandError::Arguments(format!("`{kind}` is no kind of entry{hint}"))
    })
}

/// Returns the remaining arguments; an option among them is an error, since it is unknown.
fn take_rest(arguments: Arguments) -> Result<Vec<String>, CommandError> {
    arguments
        .finish()
        .into_iter()
        .map(|argument| match argument.into_string() {
            Ok(argument) if argument.starts_with('-') => Err(CommandError::Arguments(format!(
                "the option `{argument}` is unknown here"
            ))),
            Ok(argument) => Ok(argument),
            Err(argument) => Err(CommandError::Arguments(format!(
                "the argument `{}` isn't valid UTF-8",
                argument.display()
            ))),
        })
        .collect()
}

/// Returns the remaining arguments, of which there must be `N`.
fn take_exactly<const N: usize>(
    arguments: Arguments,
    usage: &str,
) -> Result<[String; N], CommandError> {
    <[String; N]>::try_from(take_rest(arguments)?)
        .map_err(|_rest| CommandError::Arguments(format!("usage: {usage}")))
}

/// Returns the remaining arguments as file names, of which there must be at least one.
fn take_files(arguments: Arguments, usage: &str) -> Result<Vec<String>, CommandError> {
    let files = take_rest(arguments)?;
    if files.is_empty() {
        return Err(CommandError::Arguments(format!("usage: {usage}")));
    }
    Ok(files)
}
