//! A stand-in for a replica that is registered in the platform's store.

mod answer_writer;
mod endless_bytes;
mod replica_fault;
mod replica_stand_in;
mod replica_state;
mod seen_request;
mod wire_answer;

pub use {
    endless_bytes::EndlessBytes, replica_fault::ReplicaFault, replica_stand_in::ReplicaStandIn,
    seen_request::SeenRequest,
};
