//! The protocol between the system's programs: messages, their versions, changes between two versions,
//! endpoints and call ids.

#![forbid(unsafe_code)]

pub mod deduplication;
pub mod endpoints;
pub mod history;
pub mod messages;
pub mod version_store;
