//! Settings files and operators' configurations: reading and checking, with errors that name the place.

pub mod config;
pub mod document;
pub mod settings;
