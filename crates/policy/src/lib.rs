//! The load-balancing policy of one gateway: admission control, choice of a backend, quota enforcement and retries.
//!
//! [`decide`] contains the policy itself. It is pure: a [`decide::Balancer`] takes events and the time, returns actions,
//! and does no input or output. [`interface`] defines the events and actions, [`messages`] the messages between the
//! components, [`state`] the data that they keep, [`measure`] averages and random choice, and [`codec`] the encoding of
//! messages between gateways. The key `policy` in deploy/balancer.toml lists the files with decision logic.

#![forbid(unsafe_code)]

mod backends;
pub mod codec;
pub mod decide;
pub mod interface;
pub mod measure;
pub mod messages;
pub mod state;
