//! The ids of open txns: a backend must not get a second copy under one id.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

#[derive(Clone, Default)]
pub struct OpenIds(Rc<RefCell<HashSet<Box<str>>>>);

/// A txn's id, open for as long as this lives.
pub struct Open {
    id: Box<str>,
    ids: OpenIds,
}

impl OpenIds {
    /// Nothing where another txn has it.
    pub fn open(&self, id: &str) -> Option<Open> {
        // A backend that takes ids for numbers takes both cases for one.
        let id: Box<str> = id.to_ascii_lowercase().into();
        let fresh = self.0.borrow_mut().insert(id.clone());
        fresh.then(|| Open { id, ids: self.clone() })
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
