//! The state machines between the routing policy and the network, without any input or output of their own: what a
//! gateway knows of its open requests ([`Txns`]) and of one connection to a backend ([`ConnectionState`]).
//!
//! The gateway drives them by what happens on its sockets and carries out what they decide.

#![forbid(unsafe_code)]

pub mod connection;
pub mod txns;

pub use connection::{AttemptEffect, CancelReason, ConnectionEvent, ConnectionState};
pub use txns::{AttemptStart, EndedAttempt, ExpiryAction, Txns, UnexpectedEnd};
