use strum::IntoStaticStr;

/// Bytes that a replica sends without end instead of, or after, an answer.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum EndlessBytes {
    /// A whole answer, and then more bytes on the connection.
    AfterAnswer,
    /// A chunk whose extension doesn't end.
    ChunkExtension,
    /// Chunks of a body that is no event stream and doesn't end.
    ChunkedBody,
    /// A body without a length.
    CloseDelimitedBody,
    /// An event stream of comment lines.
    Comments,
    /// Header lines.
    Headers,
    /// Interim responses, one after the other.
    InterimResponses,
    /// Some events, and then bytes that are no chunk.
    Rubbish,
    /// A status line.
    StatusLine,
    /// Trailers after the last chunk.
    Trailers,
    /// The body of a failure with status 500, a byte at a time.
    TrickledFailure,
    /// An event stream whose connection stays open, but that sends nothing.
    Silence,
}

impl EndlessBytes {
    /// Returns what is sent before the endless part; `head` is that of a signed, chunked answer.
    pub(super) fn start(self, head: &str, whole: &str, event: &str) -> String {
        let (start, _) = head.split_once("\r\n\r\n").unwrap_or((head, ""));
        match self {
            Self::AfterAnswer => whole.to_owned(),
            Self::ChunkExtension => format!("{head}5;"),
            Self::ChunkedBody | Self::Comments => head.to_owned(),
            Self::CloseDelimitedBody => {
                format!(
                    "{}\r\n\r\n",
                    start.replace("Transfer-Encoding: chunked\r\n", "")
                )
            }
            Self::Headers => format!("{start}\r\n"),
            Self::InterimResponses => String::new(),
            Self::Rubbish | Self::Silence => format!("{head}{event}"),
            Self::StatusLine => "HTTP/1.1 200 ".to_owned(),
            Self::Trailers => format!("{head}0\r\n"),
            Self::TrickledFailure => head.replace("200 OK", "500 Internal Server Error"),
        }
    }

    /// Returns the part that is repeated without end.
    pub(super) fn repeated(self) -> &'static str {
        match self {
            Self::AfterAnswer | Self::Rubbish => "\0rubbish\0",
            Self::ChunkExtension | Self::CloseDelimitedBody | Self::StatusLine => {
                "xxxxxxxxxxxxxxxx"
            }
            Self::ChunkedBody => "10\r\nxxxxxxxxxxxxxxxx\r\n",
            Self::Comments => "9\r\n: keep\n\n\n\r\n",
            Self::Headers | Self::Trailers => "X-More: more\r\n",
            Self::InterimResponses => "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
            Self::Silence => "",
            Self::TrickledFailure => "1\r\nx\r\n",
        }
    }
}
