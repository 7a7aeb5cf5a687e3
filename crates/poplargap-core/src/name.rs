//! Validated names of upstreams, pools, workspaces and other entities.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Formatter},
        str::FromStr,
        sync::Arc,
    },
};

/// Maximum length of a name in bytes.
pub const NAME_LEN_MAX: usize = 128;

/// An error in a text that is not a valid name.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum NameError {
    /// a name must not be empty
    Empty,
    /// the name `{name}` holds `{character}`; names hold ASCII letters, digits, `-`, `_`, `.` and `:`
    Character {
        /// The character that is not allowed.
        character: char,
        /// The whole text that was given.
        name: String,
    },
    /// the name `{name}` is longer than 128 bytes
    TooLong {
        /// The first 128 characters of the text.
        name: String,
    },
}

impl std::error::Error for NameError {}

fn validate(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > NAME_LEN_MAX {
        let name = name.chars().take(NAME_LEN_MAX).collect();
        return Err(NameError::TooLong { name });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if let Some(character) = name.chars().find(|c| !allowed(*c)) {
        let name = name.to_owned();
        return Err(NameError::Character { character, name });
    }
    Ok(())
}

macro_rules! validated_names {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
            #[serde(into = "String", try_from = "String")]
            pub struct $name(Arc<str>);

            impl $name {
                /// Returns the name as text.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl AsRef<str> for $name {
                fn as_ref(&self) -> &str {
                    &self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl From<$name> for String {
                fn from(name: $name) -> Self {
                    name.0.as_ref().to_owned()
                }
            }

            impl FromStr for $name {
                type Err = NameError;

                fn from_str(name: &str) -> Result<Self, NameError> {
                    Self::try_from(name)
                }
            }

            impl TryFrom<&str> for $name {
                type Error = NameError;

                fn try_from(name: &str) -> Result<Self, NameError> {
                    validate(name)?;
                    Ok(Self(Arc::from(name)))
                }
            }

            impl TryFrom<String> for $name {
                type Error = NameError;

                fn try_from(name: String) -> Result<Self, NameError> {
                    Self::try_from(name.as_str())
                }
            }
        )*
    };
}

validated_names! {
    /// Name of an adapter that an engine loads in addition to its model.
    AdapterName;
    /// Id of a chat, chosen by the caller.
    ChatId;
    /// Name of a class of work.
    ClassName;
    /// Name of a daemon; unique in the fleet.
    DaemonName;
    /// Name of a data centre.
    DataCentre;
    /// Key that identifies repeated sends of one call, chosen by the caller.
    IdempotencyKey;
    /// Name of a version of a model's weights.
    ModelVersion;
    /// Name of a pool of interchangeable upstreams: a model or a plain service.
    PoolName;
    /// Id of a request; unique in the fleet.
    RequestId;
    /// Name of an upstream.
    UpstreamName;
    /// Name of a workspace.
    WorkspaceName;
}
