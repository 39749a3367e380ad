//! Parsing and validation of the processes' settings files and of operators' configurations. Errors contain the path
//! of the invalid field.

#![forbid(unsafe_code)]

pub mod configuration;
pub mod document;
pub mod settings;
