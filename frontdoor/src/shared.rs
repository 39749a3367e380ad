//! What all stages share.

use crate::admit::Told;
use crate::book::Book;
use crate::clock::Clock;
use crate::note::Note;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::sync::mpsc;
use vanewharf::interface::TxnId;
use vanewharf_told::Lines;

pub struct Shared {
    pub clock: Clock,
    pub book: Rc<Book>,
    pub told: Told,
    pub lines: Lines,
    pub notes: mpsc::UnboundedSender<Note>,
    pub txns: Cell<u64>,
    pub open: RefCell<HashSet<Box<str>>>,
}

/// A txn's id, open for as long as this lives.
pub struct Open {
    id: Box<str>,
    shared: Rc<Shared>,
}

impl Open {
    /// Nothing where another txn has it.
    pub fn of(id: &str, shared: &Rc<Shared>) -> Option<Open> {
        // A backend that takes ids for numbers takes both cases for one.
        let id: Box<str> = id.to_ascii_lowercase().into();
        let fresh = shared.open.borrow_mut().insert(id.clone());
        fresh.then(|| Open { id, shared: Rc::clone(shared) })
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.open.borrow_mut().remove(&self.id);
    }
}

impl Shared {
    /// Route ends with the program only, so there is nobody to hear that it is gone.
    pub fn tell(&self, note: Note) {
        let _ = self.notes.send(note);
    }

    pub fn next_txn(&self) -> TxnId {
        self.txns.set(self.txns.get() + 1);
        TxnId(self.txns.get())
    }
}
