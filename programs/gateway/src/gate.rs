//! What differs between the programs that pass requests on: whom they let in, by which fields they speak, and what an
//! answer proves. The stages ask it; they know no field's name themselves.

use std::time::Duration;
use vanewharf_http1::{Reply, Request};
use vanewharf_policy::interface::{Arrival, Outcome, Tenths, TxnId};

#[derive(Debug, PartialEq)]
pub enum Admitted {
    /// Asked whether this door serves.
    Health,
    Txn(Arrival),
    /// A status and the reason.
    Bad(u16, &'static str),
    /// Not now, and nothing has run: when to come back.
    Later(Tenths),
}

/// Whether an answer on a connection is that of the request under way there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    Ours(Outcome),
    /// It belongs to some other request; what is under way is still waited for.
    AnotherOnes,
    /// It belongs to nothing known: the connection is of no more use.
    Nobodys,
}

/// The names of fields, and how long clients are waited for.
#[derive(Clone, Copy, Debug)]
pub struct Speech {
    /// The field that tells a backend how many milliseconds are left.
    pub time_left: &'static str,
    /// What a client says that backends are not told.
    pub not_passed_on: &'static [&'static str],
    /// What a backend tells the door and not the client.
    pub not_passed_back: &'static [&'static str],
    /// When a client turned back for want of room is told to come back.
    pub busy_after: Option<Tenths>,
    /// From connecting to a whole first request, and from a later one's first byte to its last.
    pub whole: Duration,
    /// How long a client that says nothing may stay.
    pub idle: Duration,
}

pub trait Gate {
    fn speech(&self) -> Speech;

    fn admit(&self, request: &Request, now: Tenths, txn: TxnId) -> Admitted;

    /// By which clients and backends know the txn.
    fn id<'a>(&self, request: &'a Request) -> Option<&'a str>;

    fn judge(&self, request: &Request, reply: &Reply) -> Judged;

    /// What an answer tells of its customer's use, as a share of the quota, and of the true cost.
    fn figures(&self, _: &Reply) -> (Option<f64>, Option<f64>) {
        (None, None)
    }
}
