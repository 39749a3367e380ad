//! I/O-free state machines between the routing policy and the network: the requests that a gateway has in flight
//! ([`Txns`]), and one connection to a backend ([`ConnectionState`]).
//!
//! The gateway feeds them the events on its sockets and carries out their decisions.

#![forbid(unsafe_code)]

pub mod connection;
pub mod txns;

pub use connection::{AttemptEffect, CancelReason, ConnectionEvent, ConnectionState};
pub use txns::{AttemptStart, EndedAttempt, ExpiryAction, Txns, UnexpectedEnd};
