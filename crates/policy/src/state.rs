//! The data that the decisions keep, grouped by how long it lives.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// Notes between the parts.

#[derive(Clone, Debug)]
pub enum ToBackend {
    Listed(BackendInfo),
    Unlisted,
    Tick { patience: Ticks, warm_rate: f64, rest: Ticks },
    Sent { txn: TxnId, no: AttemptNumber, work: f64 },
    Ended { txn: TxnId, no: AttemptNumber, outcome: Outcome, relative: f64, kept: Ticks },
}

#[derive(Clone, Debug)]
pub enum ToDesk {
    Arrived(Arrival),
    Granted(TxnId),
    Refused(TxnId, Option<Ticks>),
    Ended(AttemptReport),
    Left(TxnId),
}

#[derive(Clone, Debug)]
pub enum ToTill {
    Ask(Ask),
    Heard(GatewayId, PeerMessage),
    Overdue(QuotaRequestId),
    Closed { want: QuotaClaim, metered: Option<f64>, owed: f64 },
    Counted(CounterKey, CounterReply),
}

/// What the till is asked for one txn.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub txn: TxnId,
    pub want: QuotaClaim,
    pub chance: f64,
    /// How long its client stays, how long one keeper's answer may take, how many keepers were asked.
    pub stays: Ticks,
    pub patience: Ticks,
    /// Whether there is room for it beyond its quota, by what it is worth there.
    pub spared: bool,
    pub turn: u32,
    pub refused: bool,
}

/// A first try held for the shared counter's total, in the order of the calls for its name.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    pub ask: Ask,
    pub window: i64,
    pub asked: Ticks,
}

impl Held {
    /// When its window ends.
    pub fn turns(&self, span: Ticks) -> Ticks {
        Ticks((self.window + 1) * span.0)
    }
}

// For one submission.

#[derive(Clone, Debug)]
pub struct Submission {
    pub backend: BackendId,
    pub sent: Ticks,
    pub out: bool,
    pub may_have_run: bool,
}

// For one txn.

#[derive(Clone, Debug, Default)]
pub struct Txn {
    pub asked: Arrival,
    pub arrived: Ticks,
    pub answered: bool,
    pub submissions: Vec<Submission>,
}

// For one backend.

#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub inbox: VecDeque<ToBackend>,
    pub size: f64,
    pub near: bool,
    pub booted: Option<Ticks>,
    pub listed: bool,
    pub out: BTreeMap<(TxnId, AttemptNumber), Ticks>,
    pub stuck: f64,
    pub heard: Ticks,
    pub kept_until: Ticks,
    pub since: Ticks,
    pub pace: f64,
    pub strikes: f64,
    pub aside_until: Option<Ticks>,
    pub sent_rate: f64,
    pub rated_at: Ticks,
    pub ticked: Ticks,
    pub cold_credit: f64,
}

/// What a backend last told the desk of itself.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    pub near: bool,
    pub size: f64,
    pub strength: f64,
    pub out: f64,
    pub stuck: f64,
    pub cold: bool,
    pub bad: bool,
    pub shut: bool,
    pub sent_rate: f64,
    pub rated_at: Ticks,
    pub kept_until: Ticks,
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
    /// The part refused of what this door as a keeper was asked, and when the others were told.
    pub refused: f64,
    pub told_full: Ticks,
    pub ceiling: f64,
    pub filled: Ticks,
    pub mean_cost: f64,
    pub let_since: f64,
    pub let_through: f64,
    pub let_aligned: f64,
    pub metered: f64,
    pub reading: f64,
    pub read_at: Option<Ticks>,
    pub reviewed: Ticks,
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
    pub rated_at: Ticks,
    pub out_mean: f64,
    pub counted_at: Ticks,
    pub mean_value: f64,
    /// The time a newcomer would take, as a part of the SLA time of the product tightest on time.
    pub crowding: f64,
    pub spare: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Till {
    pub inbox: VecDeque<ToTill>,
    pub accounts: BTreeMap<CustomerId, Account>,
    pub swept: Ticks,
    /// Calls out to the shared counter, and the calls to make.
    pub held: BTreeMap<CounterKey, VecDeque<Held>>,
    pub calls: Vec<Action>,
    /// Customers of whose stores this door keeps a part.
    pub kept: BTreeMap<CustomerId, Account>,
    /// Asks out to keepers, each with the keeper, and how many there have been.
    pub asked: BTreeMap<QuotaRequestId, (GatewayId, Ask)>,
    pub asks: u32,
    /// Customers that ask far beyond their quotas, and when this door was told so.
    pub full: BTreeMap<CustomerId, Ticks>,
    /// The longest that this door lately stood still.
    pub stall: Ticks,
    /// The part of the asks that call the counter: halved by each call that fails or waits in a line, back to
    /// all of them with time, as it stood then.
    pub calling: f64,
    pub paced: Ticks,
    /// What an ask usually costs: calls go first to what costs more.
    pub usual: f64,
    /// How wide a slice may be whose customer is counted: as the calls, but back over minutes.
    pub reach: f64,
    /// The part of the asks that the counter answered lately, and for each plan the part that then fit.
    pub answered: f64,
    pub fits: Vec<f64>,
}
