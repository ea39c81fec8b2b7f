//! Membership: the known instances, their liveness and the load of their targets.

pub mod directory;
pub mod evacuation_set;
pub mod instance;
pub mod rendezvous;
