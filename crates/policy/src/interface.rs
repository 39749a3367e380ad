//! What passes between the decisions and whatever carries them: ids, times, events, actions and
//! what a door is told at start.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// An instant or a span, in tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tenths(pub i64);

impl Tenths {
    pub const SECOND: Tenths = Tenths(10_000);

    pub fn seconds(self) -> f64 {
        self.0 as f64 / Self::SECOND.0 as f64
    }

    pub fn times(self, factor: f64) -> Tenths {
        Tenths((self.0 as f64 * factor) as i64)
    }
}

impl Add for Tenths {
    type Output = Tenths;
    fn add(self, other: Tenths) -> Tenths {
        Tenths(self.0.saturating_add(other.0))
    }
}

impl Sub for Tenths {
    type Output = Tenths;
    fn sub(self, other: Tenths) -> Tenths {
        Tenths(self.0.saturating_sub(other.0))
    }
}

macro_rules! ids {
    ($($name:ident($inner:ty)),* $(,)?) => {$(
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}

ids!(
    TxnId(u64),
    BackendId(u32),
    CustomerId(u64),
    PlanId(usize),
    ProductId(usize),
    SubmissionNo(u32),
    TimerId(u64),
    CountName(u64),
    DoorId(u32),
    AskNo(u32),
);

/// How far a product may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    InquiryLike,
    /// All backends drop a repeat for so long.
    Referenced {
        window: Tenths,
    },
    OnceOnly,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Product {
    pub sla_time: Tenths,
    pub value: f64,
    pub repeat: Repeat,
}

/// One plan's figures; each customer of the plan has them over all doors together. Zero: no such
/// limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub rate: f64,
    pub burst: f64,
    pub value_factor: f64,
    pub beyond_worth: f64,
    pub beyond_cost: f64,
    pub ceiling_rate: f64,
    pub ceiling_depth: f64,
}

/// The figures a cold backend is judged by.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdFigures {
    pub from: f64,
    pub ramp_time: Tenths,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Allowances {
    pub cancel: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after: Tenths,
    pub most_submissions: usize,
}

/// What a door is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    pub seed: u64,
    pub at: Tenths,
    /// This door's number and how many there are.
    pub me: DoorId,
    pub doors: u32,
    pub products: Vec<Product>,
    pub plans: Vec<Plan>,
    pub allowances: Allowances,
    pub cold: ColdFigures,
    /// How long this door keeps an idle connection to a backend.
    pub kept: Tenths,
    /// Zero: answers tell nothing of a customer's use.
    pub meter_period: Tenths,
    /// Where the shared quota counter may be called: how long a call may go unanswered.
    pub counter: Option<Tenths>,
    /// Whether doors may send each other words.
    pub peers: bool,
    /// What one txn costs at most.
    pub most_cost: f64,
}

/// What a txn takes of its customer's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Want {
    pub customer: CustomerId,
    pub plan: PlanId,
    /// The customer comes through `width` doors from this number on, counted round.
    pub first: u32,
    pub width: u32,
    pub cost: f64,
    /// Marked by its client as a repeat of one that was not settled.
    pub again: bool,
}

/// In, or out with the time to come back in.
pub type Verdict = Result<(), Option<Tenths>>;

/// What one door tells another of a customer's store, of which the other keeps a part.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Ask {
        no: AskNo,
        want: Want,
    },
    Told {
        no: AskNo,
        want: Want,
        verdict: Verdict,
    },
    /// The customer asks far beyond its quota.
    Full {
        customer: CustomerId,
    },
    /// What was let in too late to be used.
    Back {
        want: Want,
    },
}

/// What became of one call to the shared quota counter (the wire's `COUNTER_REPLY`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Counted {
    /// The name's total after this call, in units.
    Total(f64),
    /// Turned away or never connected: nothing was added.
    NotAdded,
    /// No answer in time: the amount may have been added, or may yet be.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub backend: BackendId,
    pub standing: Standing,
    pub size: f64,
    /// Whether it stands in this door's own place.
    pub near: bool,
    pub booted: Option<Tenths>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    pub txn: TxnId,
    pub product: ProductId,
    pub want: Want,
    pub expiry: Tenths,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    Settled,
    Error,
    TurnedAway,
    TimedOut,
    NoConnection,
    Broken,
    Cancelled,
    Moot,
}

impl Outcome {
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::Moot)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    pub txn: TxnId,
    pub no: SubmissionNo,
    pub outcome: Outcome,
    pub took: Tenths,
    pub complete: bool,
    /// The customer's use over all doors, as a share of its quota.
    pub metered: Option<f64>,
    pub true_cost: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole list: what it does not name is gone.
    Listing(Vec<Listed>),
    Changes(Vec<Listed>),
    Arrived(Arrival),
    Ended(Ending),
    Left(TxnId),
    Due(TimerId),
    /// The answer to a `Count`; answers for one name come in the order of the calls.
    Counted {
        name: CountName,
        counted: Counted,
    },
    Heard {
        from: DoorId,
        word: Word,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Without a time-out the submission runs until the client gives up.
    Submit {
        txn: TxnId,
        backend: BackendId,
        time_out: Option<Tenths>,
    },
    Cancel {
        txn: TxnId,
        no: SubmissionNo,
    },
    Decline {
        txn: TxnId,
        retry_after: Option<Tenths>,
    },
    Void {
        txn: TxnId,
    },
    Wake {
        after: Tenths,
        timer: TimerId,
    },
    /// Add `step` units to the shared counter's `name`, which a new name keeps for `forget_after`.
    Count {
        name: CountName,
        step: f64,
        forget_after: Tenths,
    },
    /// It may be lost.
    Tell {
        to: DoorId,
        word: Word,
    },
}
