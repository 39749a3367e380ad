//! vanewharf keeps each customer of a shared back end to its plan.
//!
//! All decisions are in [`decide`]; [`interface`] is what passes in and out of them, and
//! [`state`] is the data they keep; [`codec`] is how a message between gateways
//! is written.

pub mod codec;
pub mod decide;
pub mod interface;
pub mod state;
