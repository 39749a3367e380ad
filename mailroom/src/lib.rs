//! What the system's programs share, and nothing that decides: their settings, the operator's configurations, the words
//! they tell each other, HTTP calls between them and the log ring. docs/system.md has the whole.

pub mod call;
pub mod changes;
pub mod clock;
pub mod config;
pub mod doc;
pub mod feed;
pub mod log;
pub mod messages;
pub mod once;
pub mod premises;
pub mod program;
pub mod settings;
pub mod store;
