//! A test cluster on loopback: the real programs of the system, each on its own thread and loopback address, connected
//! to fake backends and a fake cloud platform. The fake backends record the requests that they execute, so that a test
//! can check them afterwards.

#![forbid(unsafe_code)]

pub mod backend;
pub mod cluster;
pub mod config;
pub mod http;
pub mod platform;
mod process;
pub mod raw_answer;
pub mod settings;
pub mod subnet;
