//! Output of commands.

use {
    crate::CommandError,
    serde::Serialize,
    std::{fmt::Display, io::Write},
};

/// Writes lines as text, or as one JSON object a line.
#[derive(Debug)]
pub struct CommandOutput<'a, W> {
    json: bool,
    writer: &'a mut W,
}

impl<'a, W: Write> CommandOutput<'a, W> {
    /// Creates an output to `writer`.
    pub fn new(writer: &'a mut W, json: bool) -> Self {
        Self { json, writer }
    }

    /// Writes one line.
    ///
    /// # Errors
    ///
    /// Returns why the line can't be written.
    pub fn line<T: Display + Serialize>(&mut self, line: &T) -> Result<(), CommandError> {
        let written = if self.json {
            serde_json::to_string(line)
                .map_err(std::io::Error::from)
                .and_then(|json| writeln!(self.writer, "{json}"))
        } else {
            writeln!(self.writer, "{line}")
        };
        written.map_err(|error| CommandError::OutputLost(error.to_string()))
    }

    /// Writes `text` unchanged, also when lines are written as JSON.
    ///
    /// # Errors
    ///
    /// Returns why the text can't be written.
    pub fn text(&mut self, text: &str) -> Result<(), CommandError> {
        write!(self.writer, "{text}").map_err(|error| CommandError::OutputLost(error.to_string()))
    }
}
