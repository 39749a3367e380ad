//! The last changes of what is published, so that a reader that is few versions behind gets these in place of
//! a snapshot.
//!
//! Each process that serves readers has a history of its own, of the replacements and changes that it has
//! applied. A reader that is farther behind, or whose result differs from the publisher's, gets a snapshot.

mod backend_list_history;
mod config_document;
mod register_history;

pub use backend_list_history::{BackendListHistory, TakenList};
pub use config_document::ConfigDocument;
pub use register_history::RegisterHistory;

/// Changes that one history retains at most.
const MAX_RETAINED_CHANGES: usize = 48;
