//! The most recent changes of the register and of the list of backends. A reader that is only a few versions behind
//! receives these changes instead of a snapshot.
//!
//! Each process that serves readers keeps its own history of the replacements and changes that it has applied. A
//! reader that is further behind, or whose result differs from the publisher's, receives a snapshot.

mod backend_list_history;
mod config_document;
mod register_history;

pub use backend_list_history::{BackendListHistory, TimedBackendList};
pub use config_document::ConfigDocument;
pub use register_history::RegisterHistory;

/// The maximum number of changes that one history retains.
const MAX_RETAINED_CHANGES: usize = 48;
