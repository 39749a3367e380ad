//! What all stages share.

use crate::book::Book;
use crate::clock::Clock;
use crate::gate::Gate;
use crate::note::Note;
use crate::open::OpenIds;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;
use vanewharf_gateway_settings::Lines;
use vanewharf_policy::interface::TxnId;

pub struct Shared {
    pub clock: Clock,
    pub book: Rc<Book>,
    pub gate: Box<dyn Gate>,
    pub lines: Lines,
    pub notes: mpsc::UnboundedSender<Note>,
    pub txns: Cell<u64>,
    pub open: OpenIds,
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
