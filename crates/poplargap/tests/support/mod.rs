//! What several tests need.

#![expect(dead_code, reason = "every test file uses a part of it")]

pub mod console;
pub mod faulty_store;
