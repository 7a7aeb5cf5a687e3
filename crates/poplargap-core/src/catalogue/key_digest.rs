//! Digests of the bearer keys of workspaces.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt::{self, Formatter, Write},
    subtle::ConstantTimeEq,
};

/// Length of a digest in bytes.
const DIGEST_LEN: usize = 32;

/// Error of parsing a [`KeyDigest`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DigestError {
    /// a key digest is 64 hexadecimal digits, the SHA-256 of the bearer key
    Malformed,
}

impl std::error::Error for DigestError {}

/// SHA-256 of a bearer key. Comparison takes constant time; `Debug` hides the value.
#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; DIGEST_LEN]);

impl KeyDigest {
    /// Computes the digest of a bearer key.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl Eq for KeyDigest {}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(…)")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.0.iter().fold(Self::new(), |mut text, byte| {
            write!(text, "{byte:02x}").expect("writing to a string can't fail");
            text
        })
    }
}

impl TryFrom<&str> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: &str) -> Result<Self, DigestError> {
        if text.len() != DIGEST_LEN * 2 || !text.is_ascii() {
            return Err(DigestError::Malformed);
        }
        let mut digest = [0; DIGEST_LEN];
        for (i, byte) in digest.iter_mut().enumerate() {
            let digits = &text[i * 2..i * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_source| DigestError::Malformed)?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        Self::try_from(text.as_str())
    }
}
