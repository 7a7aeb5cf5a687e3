//! Options that all commands share.

use {
    crate::{
        CatalogueStore, CommandError, Environment,
        environment::{STORE_VARIABLE, TOKEN_VARIABLE},
    },
    pico_args::Arguments,
    poplargap_core::input::{parse_duration, render_duration},
    poplargap_platform::StoreClient,
    poplargap_store::{CallBucket, CallRate, PacedStore},
    std::{net::SocketAddr, num::NonZeroU32, time::Duration},
};

const CALLS_PER_SECOND: NonZeroU32 = NonZeroU32::new(100).expect("the number isn't zero");

const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
const TIMEOUT: Duration = Duration::from_secs(2);
const TIMEOUT_MAX: Duration = Duration::from_hours(1);

/// Options that all commands share.
#[derive(Clone, Debug)]
pub struct CommandOptions {
    /// Most calls to the store per second, and in one burst.
    pub calls_per_second: NonZeroU32,
    /// Values of environment variables.
    pub environment: Environment,
    /// Whether output is JSON.
    pub json: bool,
    /// Longest time to find out the outcome of a write whose answer was lost.
    pub settle_timeout: Duration,
    /// Address of the store.
    pub store: Option<SocketAddr>,
    /// Longest wait for one answer.
    pub timeout: Duration,
}

impl CommandOptions {
    /// Removes the shared options from `arguments` and returns their values.
    ///
    /// # Errors
    ///
    /// Returns an error for a value that can't be read.
    pub fn take(arguments: &mut Arguments, environment: Environment) -> Result<Self, CommandError> {
        let calls_per_second = take_text(arguments, "--calls-per-second")?
            .map(|text| parse_rate("--calls-per-second", &text))
            .transpose()?;
        let json = arguments.contains("--json");
        let settle_timeout = take_duration(arguments, "--settle")?;
        let store = take_text(arguments, "--store")?;
        let timeout = take_duration(arguments, "--timeout")?;
        let store = match (store, &environment.store) {
            (Some(text), _) => Some(parse_address("--store", &text)?),
            (None, Some(text)) => Some(parse_address(STORE_VARIABLE, text)?),
            (None, None) => None,
        };
        Ok(Self {
            calls_per_second: calls_per_second.unwrap_or(CALLS_PER_SECOND),
            environment,
            json,
            settle_timeout: settle_timeout.unwrap_or(SETTLE_TIMEOUT),
            store,
            timeout: timeout.unwrap_or(TIMEOUT),
        })
    }

    /// Opens the catalogue in the store.
    ///
    /// # Errors
    ///
    /// Returns an error when no store is named.
    pub fn open_store(&self) -> Result<CatalogueStore<PacedStore<StoreClient>>, CommandError> {
        let Some(address) = self.store else {
            let message =
                format!("no store is named; give `--store ADDRESS` or set {STORE_VARIABLE}");
            return Err(CommandError::Arguments(message));
        };
        let store = StoreClient::new(address, self.timeout)
            .map_err(|error| CommandError::ClientUnusable(error.to_string()))?;
        let bucket = CallBucket::new(CallRate {
            burst: self.calls_per_second,
            per_second: self.calls_per_second,
        });
        let store = PacedStore::new(store, bucket);
        Ok(CatalogueStore::new(store, self.settle_timeout))
    }

    /// Returns the operators' token for daemons.
    ///
    /// # Errors
    ///
    /// Returns an error when the environment holds none.
    pub fn operator_token(&self) -> Result<&str, CommandError> {
        self.environment.operator_token.as_deref().ok_or_else(|| {
            CommandError::Arguments(format!("no operators' token is set in {TOKEN_VARIABLE}"))
        })
    }
}

/// Parses the address in the option or variable `name`.
pub(crate) fn parse_address(name: &str, text: &str) -> Result<SocketAddr, CommandError> {
    text.parse().map_err(|_error| {
        CommandError::Arguments(format!(
            "{name}: `{text}` is no IP address with a port, such as `10.0.0.2:2379`"
        ))
    })
}

fn parse_rate(name: &str, text: &str) -> Result<NonZeroU32, CommandError> {
    text.parse().map_err(|_error| {
        CommandError::Arguments(format!("{name}: `{text}` is no whole number from 1"))
    })
}

fn take_duration(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<Duration>, CommandError> {
    let Some(text) = take_text(arguments, name)? else {
        return Ok(None);
    };
    let duration = parse_duration(&text)
        .map_err(|error| CommandError::Arguments(format!("{name}: {error}")))?;
    if duration.is_zero() || duration > TIMEOUT_MAX {
        let max = render_duration(TIMEOUT_MAX);
        let message = format!("{name}: `{text}` is out of range; the range is 1ms to {max}");
        return Err(CommandError::Arguments(message));
    }
    Ok(Some(duration))
}

/// Removes the option `name` from `arguments` and returns its value.
pub(crate) fn take_text(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<String>, CommandError> {
    arguments
        .opt_value_from_str(name)
        .map_err(|error| CommandError::Arguments(error.to_string()))
}
