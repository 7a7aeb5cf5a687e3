//! Support for several test files.

#![expect(dead_code, reason = "every test file uses a part of it")]

pub mod console;
pub mod faulty_store;
