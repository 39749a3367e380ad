//! The data that the decisions keep, grouped by how long it lives.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// Notes between the parts.

#[derive(Clone, Debug)]
pub enum ToBackend {
    Listed(Listed),
    Unlisted,
    Tick { patience: Tenths, warm_rate: f64, rest: Tenths },
    Sent { txn: TxnId, no: SubmissionNo, work: f64 },
    Ended { txn: TxnId, no: SubmissionNo, outcome: Outcome, relative: f64, kept: Tenths },
}

#[derive(Clone, Debug)]
pub enum ToDesk {
    Arrived(Arrival),
    Granted(TxnId),
    Refused(TxnId, Option<Tenths>),
    Ended(Ending),
    Begun(TxnId),
    Left(TxnId),
    Offer(BackendId, Option<Offer>),
}

#[derive(Clone, Debug)]
pub enum ToTill {
    Ask { txn: TxnId, customer: CustomerId, plan: PlanId, width: u32, cost: f64, again: bool, chance: f64 },
    Returned { customer: CustomerId, cost: f64 },
    Opened(CustomerId),
    Closed { customer: CustomerId, metered: Option<f64>, owed: f64 },
    Counted { name: CountName, counted: Counted },
}

/// A first try held for the shared counter's total, in the order of the calls for its name.
#[derive(Clone, Debug)]
pub struct Held {
    /// None for a call that gives back what was not let in: its answer is of no use.
    pub txn: Option<TxnId>,
    pub customer: CustomerId,
    pub plan: PlanId,
    pub width: f64,
    pub cost: f64,
    pub window: i64,
    pub asked: Tenths,
}

impl Held {
    /// When its window ends.
    pub fn turns(&self, span: Tenths) -> Tenths {
        Tenths((self.window + 1) * span.0)
    }
}

// For one submission.

#[derive(Clone, Debug)]
pub struct Submission {
    pub backend: BackendId,
    pub place: PlaceId,
    pub group: GroupId,
    pub sent: Tenths,
    pub out: bool,
    pub may_have_run: bool,
}

// For one txn.

#[derive(Clone, Debug, Default)]
pub struct Txn {
    pub asked: Arrival,
    pub arrived: Tenths,
    pub answered: bool,
    pub begun: bool,
    pub submissions: Vec<Submission>,
}

// For one backend.

#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub inbox: VecDeque<ToBackend>,
    pub size: f64,
    pub place: PlaceId,
    pub group: GroupId,
    pub booted: Option<Tenths>,
    pub listed: bool,
    pub out: BTreeMap<(TxnId, SubmissionNo), Tenths>,
    pub stuck: f64,
    pub heard: Tenths,
    pub kept_until: Tenths,
    pub since: Tenths,
    pub pace: f64,
    pub strikes: f64,
    pub aside_until: Option<Tenths>,
    pub on_trial: bool,
    pub sent_rate: f64,
    pub rated_at: Tenths,
    pub ticked: Tenths,
    pub cold_credit: f64,
}

/// What a backend last told the desk of itself.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    pub place: PlaceId,
    pub group: GroupId,
    pub size: f64,
    pub strength: f64,
    pub out: f64,
    pub stuck: f64,
    pub cold: bool,
    pub bad: bool,
    pub shut: bool,
    pub sent_rate: f64,
    pub rated_at: Tenths,
    pub kept_until: Tenths,
}

pub type Board = BTreeMap<BackendId, Offer>;

// For the instance.

/// One customer's store at this door.
#[derive(Clone, Debug, Default)]
pub struct Account {
    pub plan: PlanId,
    pub width: f64,
    pub slice: f64,
    pub tokens: f64,
    pub unclaimed: f64,
    pub asked: f64,
    pub ceiling: f64,
    pub filled: Tenths,
    pub open: f64,
    pub open_mean: f64,
    pub mean_cost: f64,
    pub let_since: f64,
    pub let_through: f64,
    pub let_aligned: f64,
    pub metered: f64,
    pub reading: f64,
    pub read_at: Option<Tenths>,
    pub reviewed: Tenths,
    /// The customer's counter window last heard of and its total, in units.
    pub window: i64,
    pub window_total: f64,
}

/// How long a product's answers take at this door.
#[derive(Clone, Copy, Debug)]
pub struct Norm {
    pub mean: f64,
    pub spread: f64,
    pub seen: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Desk {
    pub inbox: VecDeque<ToDesk>,
    pub txns: BTreeMap<TxnId, Txn>,
    pub board: Board,
    pub norms: Vec<Norm>,
    pub settle_rate: f64,
    pub rated_at: Tenths,
    pub out_mean: f64,
    pub counted_at: Tenths,
    pub mean_value: f64,
    pub spare: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Till {
    pub inbox: VecDeque<ToTill>,
    pub accounts: BTreeMap<CustomerId, Account>,
    pub swept: Tenths,
    /// Calls out to the shared counter, and the calls to make.
    pub held: BTreeMap<CountName, VecDeque<Held>>,
    pub calls: Vec<Action>,
    /// The part of the asks that call the counter: halved by each call that fails or waits in a line, back to
    /// all of them with time, as it stood then.
    pub calling: f64,
    pub paced: Tenths,
    /// The part of the asks that the counter answered lately, and for each plan the part that then fit.
    pub answered: f64,
    pub fits: Vec<f64>,
}
