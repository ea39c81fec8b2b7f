//! Membership: which instances exist, which of them live and how busy their targets are.

pub mod directory;
pub mod instance;
pub mod rendezvous;
