//! A stand-in for a replica that is registered in the platform's store.

mod replica_fault;
mod replica_stand_in;
mod seen_request;
mod wire_answer;

pub use {
    replica_fault::ReplicaFault, replica_stand_in::ReplicaStandIn, seen_request::SeenRequest,
};
