//! The decisions of one gateway: admission, choice of a backend, quotas and retries.
//!
//! [`decide`] holds the decisions, which are pure: a [`decide::Balancer`] is given events and times and gives actions back,
//! and does no input or output. [`interface`] is what goes in and out, [`messages`] what its parts send each other,
//! [`state`] the data that they keep, [`measure`] the averages and draws that they use, and [`codec`] the form of messages
//! between gateways. `policy` in deploy/balancer.toml names the files that decide.

#![forbid(unsafe_code)]

mod backends;
pub mod codec;
pub mod decide;
pub mod interface;
pub mod measure;
pub mod messages;
pub mod state;
