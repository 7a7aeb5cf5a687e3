//! Runs the program: arguments, commands and exit codes.

use {
    crate::{
        CommandError, CommandOptions, CommandOutput, Environment, ExitStatus,
        subcommand::{HELP, SubcommandName},
    },
    pico_args::Arguments,
    std::{
        env,
        ffi::OsString,
        io::{self, Write},
        process::ExitCode,
    },
    tokio::runtime,
};

/// Runs the program with the arguments and the environment of this process.
#[must_use]
pub fn main() -> ExitCode {
    let arguments: Vec<OsString> = env::args_os().skip(1).collect();
    let json = arguments.iter().any(|argument| argument == "--json");
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            write_error(&format!("error: the runtime can't be set up: {error}"));
            return ExitStatus::Failed.into();
        }
    };
    let mut stdout = io::stdout().lock();
    let outcome = runtime.block_on(run(arguments, Environment::of_process(), &mut stdout));
    match outcome {
        Ok(()) => ExitStatus::Done.into(),
        Err(error) => {
            if json {
                write_error(&error.to_json().to_string());
            } else {
                write_error(&format!("error: {}", error.to_string().trim_end()));
            }
            error.exit_status().into()
        }
    }
}

/// Runs one command and writes its output to `writer`.
///
/// # Errors
///
/// Returns why the command failed.
pub async fn run<W: Write>(
    arguments: Vec<OsString>,
    environment: Environment,
    writer: &mut W,
) -> Result<(), CommandError> {
    let mut arguments = Arguments::from_vec(arguments);
    let help = arguments.contains(["-h", "--help"]);
    let version = arguments.contains(["-V", "--version"]);
    let options = CommandOptions::take(&mut arguments, environment)?;
    let mut output = CommandOutput::new(writer, options.json);
    if version {
        return output.text(concat!("poplargap ", env!("CARGO_PKG_VERSION"), "\n"));
    }
    let name = arguments
        .subcommand()
        .map_err(|error| CommandError::Arguments(error.to_string()))?;
    let Some(name) = name else {
        if help {
            return output.text(HELP);
        }
        let message = "no command is given; `poplargap --help` lists the commands";
        return Err(CommandError::Arguments(message.to_owned()));
    };
    let name = SubcommandName::parse(&name)?;
    if help {
        return output.text(name.help());
    }
    name.run(arguments, &options, &mut output).await
}

/// Writes a line to standard error; if that is closed, only the exit code reports the error.
fn write_error(line: &str) {
    let _written = writeln!(io::stderr(), "{line}");
}
