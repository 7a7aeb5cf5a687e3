//! Environment variables of the program.

use std::{
    env,
    fmt::{self, Formatter},
};

/// Variable that names the store.
pub(crate) const STORE_VARIABLE: &str = "POPLARGAP_STORE";

/// Variable that holds the operators' token.
pub(crate) const TOKEN_VARIABLE: &str = "POPLARGAP_OPERATOR_TOKEN";

/// Values of the program's environment variables, `None` where one isn't set or isn't UTF-8.
#[derive(Clone, Default)]
pub struct Environment {
    /// The operators' token for daemons.
    pub operator_token: Option<String>,
    /// Address of the store.
    pub store: Option<String>,
}

impl fmt::Debug for Environment {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Environment")
            .field("store", &self.store)
            .finish_non_exhaustive()
    }
}

impl Environment {
    /// Reads the environment of this process.
    #[must_use]
    pub fn of_process() -> Self {
        Self {
            operator_token: env::var(TOKEN_VARIABLE).ok(),
            store: env::var(STORE_VARIABLE).ok(),
        }
    }
}
