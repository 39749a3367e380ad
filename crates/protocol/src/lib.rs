//! What the system's programs send each other: messages, versions, changes between versions, call ids.

pub mod changes;
pub mod deduplication;
pub mod messages;
pub mod store;
