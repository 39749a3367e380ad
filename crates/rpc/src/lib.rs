//! HTTP calls between the system's programs, and the feed of versions that readers pull.

pub mod call;
pub mod feed;
