//! Daemon processes on the users' platform under faults of processes, replicas and the store.

mod callers;
mod faults;
mod memory;
mod site;
