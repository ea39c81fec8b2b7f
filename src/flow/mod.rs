//! Flows whose packets carry no route token: packet headers, routes and flow tables.

pub mod packet;
pub mod routes;
pub mod table;
