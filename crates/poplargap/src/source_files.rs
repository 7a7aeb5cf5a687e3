//! Declaration files named on the command line.

use {
    crate::CommandError,
    poplargap_core::{
        catalogue::declaration::SourceText,
        finding::{InputFinding, InputFindings},
    },
    std::fs,
};

/// Names and texts of files.
#[derive(Debug)]
pub(crate) struct SourceFiles(Vec<(String, String)>);

impl SourceFiles {
    /// Reads all files; those that can't be read are reported together.
    pub(crate) fn read(files: Vec<String>) -> Result<Self, CommandError> {
        let mut findings = InputFindings::default();
        let mut sources = Vec::new();
        for file in files {
            match fs::read_to_string(&file) {
                Ok(text) => sources.push((file, text)),
                Err(error) => findings.push(InputFinding {
                    file,
                    section: String::new(),
                    key: String::new(),
                    message: format!("the file can't be read: {error}"),
                }),
            }
        }
        findings
            .into_result(Self(sources))
            .map_err(CommandError::Findings)
    }

    pub(crate) fn texts(&self) -> Vec<SourceText<'_>> {
        self.0
            .iter()
            .map(|(file, text)| SourceText { file, text })
            .collect()
    }
}
