//! Flows without a token: packets, routes and the tables that remember flows.

pub mod packet;
pub mod routes;
pub mod table;
