//! vanewharf keeps each customer of a shared back end to its plan.
//!
//! All decisions are in [`decide`]; [`interface`] is what passes in and out of them, and
//! [`state`] is the data they keep; [`letter`] is how a word between doors
//! is written.

pub mod decide;
pub mod interface;
pub mod letter;
pub mod state;
