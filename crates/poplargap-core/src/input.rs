//! Parsing of INI files into typed values, with descriptions of keys and located findings.

mod byte_size;
mod duration;
mod ini_text;
mod key_description;
mod key_table;
mod section_reader;

pub use {
    byte_size::{ByteSize, ByteSizeError},
    duration::{DurationError, parse_duration, render_duration},
    ini_text::{IniSection, IniText},
    key_description::{KeyDefault, KeyDescription, ValueKind},
    key_table::KeyTable,
    section_reader::SectionReader,
};
