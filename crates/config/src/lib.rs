//! Settings files of processes and configurations of operators: parsing and validation, with errors that name
//! the place in the document.

#![forbid(unsafe_code)]

pub mod configuration;
pub mod document;
pub mod settings;
