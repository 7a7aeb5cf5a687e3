//! An INI text split into sections, with all syntax findings.

use {
    crate::finding::{InputFinding, InputFindings},
    ini::{Ini, ParseOption},
};

/// One section as it stands in the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniSection {
    /// The heading without brackets.
    pub heading: String,
    /// Keys and values in the order of the file; a key may stand twice.
    pub values: Vec<(String, String)>,
}

/// The sections of one file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IniText {
    /// Sections in the order of the file; a heading may stand twice.
    pub sections: Vec<IniSection>,
}

impl IniText {
    /// Splits a text into sections and adds what is wrong with its syntax to `findings`.
    ///
    /// A line is a comment, a heading or a key with its value; values are neither quoted nor
    /// continued. Findings name lines by number only, for a line may hold a secret.
    #[must_use]
    pub fn parse(file: &str, text: &str, findings: &mut InputFindings) -> Self {
        let mut lines = Vec::new();
        let mut heading_lost = false;
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with([';', '#']) {
                lines.push("");
                continue;
            }
            let Some(message) = line_fault(line) else {
                lines.push(line);
                continue;
            };
            lines.push("");
            heading_lost |= line.starts_with('[');
            findings.push(whole_file(file, format!("line {}: {message}", number + 1)));
        }
        if heading_lost {
            return Self::default();
        }
        Self::split(file, &lines.join("\n"), findings)
    }

    fn split(file: &str, text: &str, findings: &mut InputFindings) -> Self {
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = match Ini::load_from_str_opt(text, option) {
            Ok(ini) => ini,
            Err(error) => {
                findings.push(whole_file(
                    file,
                    format!("line {}: {}", error.line, error.msg),
                ));
                return Self::default();
            }
        };
        let mut sections = Vec::new();
        for (heading, properties) in &ini {
            let values = properties
                .iter()
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .collect::<Vec<_>>();
            let Some(heading) = heading else {
                for (key, _) in values {
                    findings.push(InputFinding {
                        file: file.to_owned(),
                        section: String::new(),
                        key,
                        message: "the key stands before the first section".to_owned(),
                    });
                }
                continue;
            };
            let heading = heading.to_owned();
            sections.push(IniSection { heading, values });
        }
        Self { sections }
    }
}

fn whole_file(file: &str, message: String) -> InputFinding {
    InputFinding {
        file: file.to_owned(),
        section: String::new(),
        key: String::new(),
        message,
    }
}

fn line_fault(line: &str) -> Option<&'static str> {
    if line.is_empty() {
        return None;
    }
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return Some("the line holds a control character");
    }
    if line.ends_with('\\') {
        return Some("a line can't be continued with `\\`");
    }
    if let Some(rest) = line.strip_prefix('[') {
        let inner = rest.strip_suffix(']').unwrap_or("]");
        return inner
            .contains([']', '\\'])
            .then_some("a heading is `[`, a name and `]`, alone on its line");
    }
    match line.find(['=', ':']) {
        None => Some("the line is neither a heading nor a key with `=` and a value"),
        Some(0) => Some("no key stands before `=`"),
        Some(_) => None,
    }
}
