//! Small stand-ins of the platform's store, of replicas and of clients, and a runner of daemon
//! processes. They use the standard library only.

pub mod base64;
pub mod client;
pub mod daemon;
pub mod http;
pub mod json;
pub mod process;
pub mod record;
pub mod replica;
pub mod site;
pub mod store;
