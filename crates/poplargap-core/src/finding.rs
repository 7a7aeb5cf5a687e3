//! Faults in operators' input files, with the section and key of each.

use {
    crate::name::NAME_LEN_MAX,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// One fault in an input file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct InputFinding {
    /// Path of the file as the operator gave it.
    pub file: String,
    /// Section heading without brackets; empty for a fault of the whole file.
    pub section: String,
    /// Key in the section; empty for a fault of the whole section.
    pub key: String,
    /// Description of the fault: a sentence without a full stop.
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

/// All faults found while reading one or more files.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct InputFindings(Vec<InputFinding>);

impl InputFindings {
    /// Returns the findings in the order in which they were added.
    #[must_use]
    pub fn as_slice(&self) -> &[InputFinding] {
        &self.0
    }

    /// Returns whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds one finding.
    pub fn push(&mut self, finding: InputFinding) {
        self.0.push(finding);
    }

    /// Adds the findings of another collection.
    pub fn append(&mut self, mut findings: Self) {
        self.0.append(&mut findings.0);
    }

    /// Returns `value` when there are no findings.
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

/// Returns the known word with the smallest edit distance to `word`, to suggest as a correction.
///
/// Returns `None` when the distance exceeds 3 edits or half the length of the known word.
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
