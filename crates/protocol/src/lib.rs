//! The internal protocol of vanewharf: the messages that its programs exchange, their versions and incremental
//! changes, the endpoints, and the call ids by which a server recognizes duplicates.

#![forbid(unsafe_code)]

pub mod deduplication;
pub mod endpoints;
pub mod history;
pub mod messages;
pub mod version_store;
