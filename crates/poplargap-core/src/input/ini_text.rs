//! Splitting of INI files into sections; all syntax errors are reported together.

use {
    crate::finding::{InputFinding, InputFindings},
    ini::{Ini, ParseOption},
};

/// One section of a file, unparsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniSection {
    /// Heading without brackets.
    pub heading: String,
    /// Keys and values in file order; keys may be duplicated.
    pub values: Vec<(String, String)>,
}

/// The sections of one file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IniText {
    /// Sections in file order; headings may be duplicated.
    pub sections: Vec<IniSection>,
}

impl IniText {
    /// Splits a text into sections and adds its syntax errors to `findings`.
    ///
    /// If a heading is malformed, no section is returned, because its keys would seem to belong to
    /// the section before.
    ///
    /// A line is a comment, a heading or a key with its value. Quotes and continuation lines aren't
    /// supported. Findings give line numbers but no content, because a line may contain a secret.
    #[must_use]
    pub fn parse(file: &str, text: &str, findings: &mut InputFindings) -> Self {
        let mut lines = Vec::new();
        let mut heading_malformed = false;
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with([';', '#']) {
                lines.push("");
                continue;
            }
            let Some(message) = syntax_error(line) else {
                lines.push(line);
                continue;
            };
            lines.push("");
            heading_malformed |= line.starts_with('[');
            findings.push(file_finding(
                file,
                format!("line {}: {message}", number + 1),
            ));
        }
        if heading_malformed {
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
                findings.push(file_finding(
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

fn file_finding(file: &str, message: String) -> InputFinding {
    InputFinding {
        file: file.to_owned(),
        section: String::new(),
        key: String::new(),
        message,
    }
}

fn syntax_error(line: &str) -> Option<&'static str> {
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
