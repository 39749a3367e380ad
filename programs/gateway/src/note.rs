//! What the stages tell each other.

use crate::open::Open;
use crate::relay::Final;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use vanewharf_exchange::line::CalledOff;
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{
    Arrival, CountName, Counted, DoorId, Listed, Outcome, SubmissionNo, Tenths, TxnId, Word,
};

pub struct Taken {
    pub arrival: Arrival,
    pub request: Rc<Request>,
    pub open: Open,
    pub answer: oneshot::Sender<Final>,
}

pub struct Ended {
    pub txn: TxnId,
    pub no: SubmissionNo,
    pub outcome: Outcome,
    pub reply: Option<Reply>,
    pub idle: Option<Idle>,
    /// How long its connection had been idle, where it ended under the submission with nothing said.
    pub broke: Option<Tenths>,
}

impl Ended {
    /// With nothing else to tell.
    pub fn of(txn: TxnId, no: SubmissionNo, outcome: Outcome) -> Ended {
        Ended { txn, no, outcome, reply: None, idle: None, broke: None }
    }
}

/// What the other stages tell route.
pub enum Note {
    Arrived(Taken),
    Left(TxnId),
    Ended(Ended),
    Listed(Told),
    /// Sockets are short.
    Shed,
    /// The shared counter's answer to one call.
    Counted(CountName, Counted),
    /// Another door's word.
    Heard(DoorId, Word),
}

/// A list of backends or a change of it, with this door's ids for the names.
pub struct Told {
    pub whole: bool,
    pub entries: Vec<(Listed, Option<SocketAddr>)>,
}

pub struct Job {
    pub txn: TxnId,
    pub no: SubmissionNo,
    pub request: Rc<Request>,
    /// When the door stops waiting.
    pub until: Tenths,
    pub called_off: oneshot::Receiver<CalledOff>,
    /// What this backend is told beside what the client said.
    pub anew: Vec<(&'static str, String)>,
}

/// A connection that waits for its next submission; it closes when this is dropped.
pub struct Idle {
    pub next: oneshot::Sender<Job>,
    pub since: Tenths,
}
