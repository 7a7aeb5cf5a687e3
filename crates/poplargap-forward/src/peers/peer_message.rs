use {
    displaydoc::Display,
    poplargap_core::forward::{LeavingReplica, LoadDigest, PeerCrash},
    serde::{Deserialize, Serialize},
};

/// Why a datagram isn't a valid message.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum MessageError {
    /// the message can't be read: {0}
    Malformed(postcard::Error),
    /// {0} bytes follow the message
    Trailing(usize),
}

impl std::error::Error for MessageError {}

/// A message between daemons; new variants are appended, since the encoding depends on the order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Load reports and cached prompts.
    Loads(LoadDigest),
    /// Replicas that are leaving.
    Leaving(Vec<LeavingReplica>),
    /// Crashes of replicas.
    Crashes(Vec<PeerCrash>),
}

impl PeerMessage {
    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed or longer than the message.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let (message, rest) = postcard::take_from_bytes(bytes).map_err(MessageError::Malformed)?;
        if rest.is_empty() {
            Ok(message)
        } else {
            Err(MessageError::Trailing(rest.len()))
        }
    }

    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the message can't be serialized.
    pub fn write(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_stdvec(self).map_err(MessageError::Malformed)
    }
}
