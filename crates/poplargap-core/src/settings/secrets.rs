//! Secrets of the settings; they never print.

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
                /// Returns the secret itself, to be used and never printed.
                #[must_use]
                pub fn expose(&self) -> &str {
                    &self.0
                }

                /// Returns whether `text` is the secret, in constant time.
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
    /// Token that operators show to a daemon.
    OperatorToken;
}
