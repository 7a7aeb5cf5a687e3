//! Markdown tables of keys for the documentation.

use super::{KeyDefault, KeyDescription};

/// Markdown table of the keys of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyTable {
    /// Section heading, or its first word if entries are named in headings.
    pub section: &'static str,
    /// Header row, followed by a row for each key.
    pub text: String,
}

impl KeyTable {
    /// Returns a table for each section, in the order of `descriptions`.
    ///
    /// Keys of the same section must be adjacent.
    #[must_use]
    pub fn of_sections(descriptions: &[KeyDescription]) -> Vec<Self> {
        descriptions
            .chunk_by(|a, b| a.section == b.section)
            .map(|keys| {
                let rows: String = keys.iter().map(table_row).collect();
                let head = "| key | unit | default | bounds | meaning |\n|---|---|---|---|---|\n";
                Self {
                    section: keys[0].section,
                    text: format!("{head}{rows}"),
                }
            })
            .collect()
    }
}

fn table_row(description: &KeyDescription) -> String {
    let default = match description.default {
        KeyDefault::Absent(effect) => effect.to_owned(),
        KeyDefault::Required => "required".to_owned(),
        KeyDefault::Text(text) => format!("`{text}`"),
    };
    let KeyDescription { key, meaning, .. } = description;
    let (bounds, unit) = (description.kind.bounds(), description.kind.unit());
    format!("| `{key}` | {unit} | {default} | {bounds} | {meaning} |\n")
}
