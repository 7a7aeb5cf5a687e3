//! Secrets in the settings; their `Debug` output is redacted.

use {
    std::fmt::{self, Formatter},
    subtle::ConstantTimeEq,
};

macro_rules! secrets {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone)]
            pub struct $name(String);

            impl $name {
                /// Returns the secret in plain text; callers must not print it.
                #[must_use]
                pub fn expose(&self) -> &str {
                    &self.0
                }

                /// Compares `text` with the secret in constant time.
                #[must_use]
                pub fn matches(&self, text: &str) -> bool {
                    self.0.as_bytes().ct_eq(text.as_bytes()).into()
                }
            }

            impl fmt::Debug for $name {
                fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                    f.write_str(concat!(stringify!($name), "(…)"))
                }
            }

            impl From<String> for $name {
                fn from(secret: String) -> Self {
                    Self(secret)
                }
            }
        )*
    };
}

secrets! {
    /// Secret that all daemons of the fleet share.
    FleetSecret;
    /// Bearer token that operators send to a daemon.
    OperatorToken;
}
