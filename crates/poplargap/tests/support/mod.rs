//! What several tests need.

pub mod faulty_store;
