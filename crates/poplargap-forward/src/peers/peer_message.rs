use {
    displaydoc::Display,
    poplargap_core::forward::LoadDigest,
    serde::{Deserialize, Serialize},
};

/// A datagram that holds no message.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum MessageError {
    /// the message can't be read: {0}
    Malformed(postcard::Error),
    /// {0} bytes follow the message
    Trailing(usize),
}

impl std::error::Error for MessageError {}

/// A message between daemons; a new kind is added at the end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Reports of loads.
    Loads(LoadDigest),
}

impl PeerMessage {
    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let (message, rest) = postcard::take_from_bytes(bytes).map_err(MessageError::Malformed)?;
        if rest.is_empty() {
            Ok(message)
        } else {
            Err(MessageError::Trailing(rest.len()))
        }
    }

    /// Returns the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error when the library can't write the message.
    pub fn write(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_stdvec(self).map_err(MessageError::Malformed)
    }
}
