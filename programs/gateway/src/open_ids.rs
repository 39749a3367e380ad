//! The ids of the requests in flight. A backend must not receive a second request with an id that is still open.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The set of open ids; clones share it.
#[derive(Clone, Default)]
pub struct OpenIds(Rc<RefCell<HashSet<Box<str>>>>);

/// A request's id, which stays open until this is dropped.
pub struct OpenId {
    id: Box<str>,
    ids: OpenIds,
}

impl OpenIds {
    /// Opens an id; returns `None` if another request has it open.
    pub fn try_open(&self, id: &str) -> Option<OpenId> {
        // Backends may parse ids as hexadecimal numbers, which are not case-sensitive.
        let id: Box<str> = id.to_ascii_lowercase().into();
        let inserted = self.0.borrow_mut().insert(id.clone());
        inserted.then(|| OpenId { id, ids: self.clone() })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
