//! Authentication of messages between the daemons of a fleet.

use {
    displaydoc::Display,
    hmac::{Hmac, KeyInit, Mac},
    serde::{Deserialize, Serialize},
    sha2::Sha256,
    std::fmt::{self, Formatter, Write},
    subtle::ConstantTimeEq,
};

type FleetMac = Hmac<Sha256>;

/// Length of an authentication code in bytes: the first half of an HMAC-SHA-256.
pub const CODE_LEN: usize = 16;

const RPC_PURPOSE: &[u8] = b"poplargap rpc";

/// An error in the authentication of a message.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProofError {
    /// the message's authentication code is wrong
    Mismatch,
    /// the message is too short to carry an authentication code
    Short,
}

impl std::error::Error for ProofError {}

/// Key derived from the fleet's secret; signs and verifies messages.
#[derive(Clone)]
pub struct FleetKey(FleetMac);

impl FleetKey {
    /// Derives the key from the fleet's secret.
    ///
    /// # Panics
    ///
    /// Never: an HMAC takes keys of any length.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(FleetMac::new_from_slice(secret.as_bytes()).expect("an HMAC takes keys of any length"))
    }

    /// Returns the authentication code of `message`.
    #[must_use]
    pub fn code(&self, message: &[u8]) -> [u8; CODE_LEN] {
        let mut mac = self.0.clone();
        mac.update(message);
        let full = mac.finalize().into_bytes();
        let mut code = [0; CODE_LEN];
        code.copy_from_slice(&full[..CODE_LEN]);
        code
    }

    /// Appends its authentication code to `message`.
    pub fn sign(&self, message: &mut Vec<u8>) {
        let code = self.code(message);
        message.extend_from_slice(&code);
    }

    /// Verifies a signed message and returns it without its authentication code.
    ///
    /// # Errors
    ///
    /// Returns an error when the code is missing or wrong.
    pub fn verify<'a>(&self, signed: &'a [u8]) -> Result<&'a [u8], ProofError> {
        let len = signed
            .len()
            .checked_sub(CODE_LEN)
            .ok_or(ProofError::Short)?;
        let (message, code) = signed.split_at(len);
        if bool::from(self.code(message).ct_eq(code)) {
            Ok(message)
        } else {
            Err(ProofError::Mismatch)
        }
    }

    /// Returns the proof of membership in the fleet for calls between daemons.
    #[must_use]
    pub fn rpc_proof(&self) -> FleetProof {
        let text = self
            .code(RPC_PURPOSE)
            .iter()
            .fold(String::new(), |mut text, byte| {
                write!(text, "{byte:02x}").expect("writing to a string can't fail");
                text
            });
        FleetProof(text)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(…)")
    }
}

/// Shared proof that a call comes from a daemon of the fleet; its `Debug` output hides it.
#[derive(Clone, Deserialize, Serialize)]
#[serde(transparent)]
pub struct FleetProof(String);

impl FleetProof {
    /// Returns the proof as the value of a header.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether `text` equals this proof; the comparison takes constant time.
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        self.0.as_bytes().ct_eq(text.as_bytes()).into()
    }
}

impl fmt::Debug for FleetProof {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("FleetProof(…)")
    }
}
