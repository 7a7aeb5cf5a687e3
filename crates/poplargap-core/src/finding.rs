//! Faults found in operators' input, each with its place.

use {
    crate::name::NAME_LEN_MAX,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// One fault in a file, with the section and the key where it was found.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct InputFinding {
    /// The file's path as the operator gave it.
    pub file: String,
    /// The section's heading, without brackets; empty for the file as a whole.
    pub section: String,
    /// The key inside the section; empty for the section as a whole.
    pub key: String,
    /// What is wrong, as a sentence without a full stop.
    pub message: String,
}

impl Display for InputFinding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if !self.section.is_empty() {
            write!(f, ": [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// All faults found in one reading, reported together.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct InputFindings(Vec<InputFinding>);

impl InputFindings {
    /// Returns the findings in the order in which they were found.
    #[must_use]
    pub fn as_slice(&self) -> &[InputFinding] {
        &self.0
    }

    /// Returns whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds one finding.
    pub fn push(&mut self, finding: InputFinding) {
        self.0.push(finding);
    }

    /// Adds the findings of another reading.
    pub fn append(&mut self, mut findings: Self) {
        self.0.append(&mut findings.0);
    }

    /// Returns `value` when nothing was found.
    ///
    /// # Errors
    ///
    /// Returns the findings when there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl Display for InputFindings {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for InputFindings {}

/// Returns the known word nearest to `word`, when one is near enough to be meant.
#[must_use]
pub fn nearest_word<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    const DISTANCE_MAX: usize = 3;
    if word.len() > NAME_LEN_MAX {
        return None;
    }
    known
        .into_iter()
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate))
        .filter(|(distance, candidate)| *distance <= DISTANCE_MAX.min(candidate.len() / 2))
        .min()
        .map(|(_, candidate)| candidate)
}
