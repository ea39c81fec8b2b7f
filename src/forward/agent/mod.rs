//! The agent: forwards packets between balancers, other agents and its local target.
//!
//! [`core`] holds its state and handles packets, with [`syn`] for the opening of flows, [`lookup`] for
//! flows that the target is not known to hold, [`recovery`] for what is known of flows across
//! restarts, and [`warmup`] for the limits of cold targets. They do no I/O. [`driver`] runs them on sockets.

pub mod core;
pub mod driver;
pub mod flows;
pub mod lookup;
pub mod probe;
pub mod recovery;
pub mod slot_requests;
pub mod suspicion;
pub mod syn;
pub mod syn_queue;
pub mod target;
pub mod target_check;
pub mod warmup;
