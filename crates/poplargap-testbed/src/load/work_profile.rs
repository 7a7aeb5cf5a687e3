//! Kinds of chats, which differ in the lengths of their prompts and answers.

use {
    serde::{Deserialize, Serialize},
    std::ops::RangeInclusive,
    strum::{Display, EnumString},
};

/// Kind of a chat.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WorkProfile {
    /// Short prompts with answers of a few words.
    Check,
    /// Prompts and answers of medium length.
    Note,
    /// Long prompts and long answers.
    Report,
}

/// Lengths of a chat's messages in words, and of its answers in tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkShape {
    /// Range of the maximum number of tokens of an answer.
    pub answer_tokens: RangeInclusive<usize>,
    /// Number of words in the first user message.
    pub first_words: RangeInclusive<usize>,
    /// Number of words in each later user message.
    pub later_words: RangeInclusive<usize>,
    /// Number of words in the system message, which all chats of a workspace's class share.
    pub system_words: usize,
}

impl WorkProfile {
    /// Returns the lengths of this kind of chat.
    #[must_use]
    pub fn shape(self) -> WorkShape {
        match self {
            Self::Check => WorkShape {
                answer_tokens: 2..=8,
                first_words: 20..=60,
                later_words: 10..=40,
                system_words: 48,
            },
            Self::Note => WorkShape {
                answer_tokens: 20..=80,
                first_words: 50..=200,
                later_words: 20..=100,
                system_words: 64,
            },
            Self::Report => WorkShape {
                answer_tokens: 100..=250,
                first_words: 600..=2000,
                later_words: 50..=400,
                system_words: 256,
            },
        }
    }
}
