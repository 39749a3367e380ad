//! What passes between the decisions of one gateway and the program that carries them out: identifiers, times, the
//! configuration of a [`Balancer`](crate::decide::Balancer), the events that go in and the actions that come out.
//!
//! The types hold no state and do no input or output. [`PeerMessage`] and the types inside it are sent between gateways
//! in a positional form (see [`crate::codec`]): the order of their fields and variants must not change.

mod config;

pub use config::*;
use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// An instant or a span, in ticks of 0.1 ms. An instant counts from an origin that the program chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticks(pub i64);

impl Ticks {
    /// One second.
    pub const SECOND: Ticks = Ticks(10_000);

    /// This span in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / Self::SECOND.0 as f64
    }

    /// This span scaled by `factor`, rounded towards zero.
    pub fn times(self, factor: f64) -> Ticks {
        Ticks((self.0 as f64 * factor) as i64)
    }
}

impl Add for Ticks {
    type Output = Ticks;
    fn add(self, other: Ticks) -> Ticks {
        Ticks(self.0.saturating_add(other.0))
    }
}

impl Sub for Ticks {
    type Output = Ticks;
    fn sub(self, other: Ticks) -> Ticks {
        Ticks(self.0.saturating_sub(other.0))
    }
}

macro_rules! identifiers {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}

identifiers!(
    /// A client's request, unique at one gateway.
    TxnId(u64),
    /// A backend, as this gateway numbers them.
    BackendId(u32),
    /// A customer; the same at all gateways.
    CustomerId(u64),
    /// A plan's position in [`BalancerConfig::plans`].
    PlanId(usize),
    /// A product's position in [`BalancerConfig::products`].
    ProductId(usize),
    /// An attempt's position among those of its request: 0 is the first.
    AttemptNumber(u32),
    /// A timer set by [`Action::SetTimer`].
    TimerId(u64),
    /// A key of the shared quota counter.
    CounterKey(u64),
    /// A gateway's position among all gateways.
    GatewayId(u32),
    /// A quota request to a peer, unique at the gateway that sent it.
    QuotaRequestId(u32),
);

/// What a request takes of its customer's quota. The customer comes through a subset of the gateways: `subset_size` of
/// them from `subset_start` on, counted round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaClaim {
    /// Whose quota.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// The first gateway of the customer's subset.
    pub subset_start: u32,
    /// How many gateways the subset has; zero in an [`Arrival`] stands for all.
    pub subset_size: u32,
    /// Units, or an estimate of them.
    pub cost: f64,
    /// Marked by its client as a retry of a request that did not succeed.
    pub retry: bool,
}

/// Why a claim has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRejection {
    /// When the claim would fit, from now, if that is known.
    pub retry_after: Option<Ticks>,
}

/// Whether a claim is inside the quota.
pub type QuotaDecision = Result<(), QuotaRejection>;

/// What one gateway sends another about a customer's quota, a part of which the other owns. Any message may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks an owner whether a claim is inside its part of the quota.
    QuotaRequest {
        /// Repeated in the response.
        request: QuotaRequestId,
        /// What is asked for.
        claim: QuotaClaim,
    },
    /// The owner's answer.
    QuotaResponse {
        /// The request that is answered.
        request: QuotaRequestId,
        /// What was asked for.
        claim: QuotaClaim,
        /// The answer; the owner has charged the claim if it is positive.
        decision: QuotaDecision,
    },
    /// The customer asks far more than its quota.
    QuotaExhausted {
        /// Whose quota.
        customer: CustomerId,
    },
    /// Returns a claim that was charged and came too late to be used.
    QuotaRefund {
        /// What is returned.
        claim: QuotaClaim,
    },
}

impl PeerMessage {
    /// The claim that it is about, if any.
    pub fn claim(&self) -> Option<&QuotaClaim> {
        match self {
            PeerMessage::QuotaRequest { claim, .. }
            | PeerMessage::QuotaResponse { claim, .. }
            | PeerMessage::QuotaRefund { claim } => Some(claim),
            PeerMessage::QuotaExhausted { .. } => None,
        }
    }
}

/// What became of one call to the shared quota counter (the wire's `COUNTER_REPLY`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    /// The key's total after this call, in units.
    Total(f64),
    /// Rejected, or no connection: nothing was added.
    NotAdded,
    /// No answer in time: the amount may have been added, or may yet be.
    Unknown,
}

/// What a backend takes, as discovery reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendStatus {
    /// Takes requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer there.
    Gone,
}

/// One backend, as discovery reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendInfo {
    /// Which backend.
    pub backend: BackendId,
    /// What it takes.
    pub status: BackendStatus,
    /// Its capacity relative to other backends.
    pub capacity: f64,
    /// Whether it stands in this gateway's own zone.
    pub local: bool,
    /// When it started, where that is known.
    pub started_at: Option<Ticks>,
}

/// A request that a client has sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Its number at this gateway.
    pub txn: TxnId,
    /// What it asks for.
    pub product: ProductId,
    /// What it takes of its customer's quota.
    pub claim: QuotaClaim,
    /// When its client stops waiting.
    pub deadline: Ticks,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A good response.
    Succeeded,
    /// The backend answered with an error; the request may have run.
    Error,
    /// The backend refused the request without running it.
    Rejected,
    /// No response in time; the request may have run.
    TimedOut,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection was lost after the request was sent; it may have run.
    ConnectionLost,
    /// This gateway cancelled it; the request may have run.
    Cancelled,
    /// It was not sent at all, as its request was over by then.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the backend did not run the request.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// The request.
    pub txn: TxnId,
    /// Which of its attempts.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from its start to its end.
    pub latency: Ticks,
    /// Whether the client has its final answer.
    pub complete: bool,
    /// The customer's usage over all gateways, as a part of its quota.
    pub metered_usage: Option<f64>,
    /// What the request cost indeed, in units.
    pub actual_cost: Option<f64>,
}

/// What the decisions are notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete list of backends: those that it does not name are gone.
    BackendList(Vec<BackendInfo>),
    /// Backends that have changed or are new.
    BackendChanges(Vec<BackendInfo>),
    /// A request has come.
    RequestArrived(Arrival),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// A request's client has left; no answer is needed.
    ClientDisconnected(TxnId),
    /// A timer set by [`Action::SetTimer`] has run out.
    TimerFired(TimerId),
    /// The reply to an [`Action::IncrementCounter`]; replies for one key come in the order of the calls.
    CounterReplied {
        /// The key of the call.
        key: CounterKey,
        /// What became of it.
        reply: CounterReply,
    },
    /// Another gateway's message.
    PeerMessageReceived {
        /// Its sender.
        from: GatewayId,
        /// What it sent.
        message: PeerMessage,
    },
}

/// What the decisions want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a backend.
    SendAttempt {
        /// The request.
        txn: TxnId,
        /// Where to.
        backend: BackendId,
        /// How long to wait for the response; without it, until the client gives up.
        timeout: Option<Ticks>,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request.
        txn: TxnId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// Answer a request finally: it was not run, and another try is harmless.
    Reject {
        /// The request.
        txn: TxnId,
        /// What to tell the client about coming back.
        retry_after: Option<Ticks>,
    },
    /// Answer a request finally: it may have run, and must not be sent again.
    Fail {
        /// The request.
        txn: TxnId,
    },
    /// Send [`Event::TimerFired`] after a span.
    SetTimer {
        /// The span.
        after: Ticks,
        /// The timer.
        timer: TimerId,
    },
    /// Add to a key of the shared counter.
    IncrementCounter {
        /// The key.
        key: CounterKey,
        /// Units to add.
        amount: f64,
        /// How long the counter keeps a key that is new.
        expire_after: Ticks,
    },
    /// Send another gateway a message, which may be lost.
    SendPeerMessage {
        /// The other gateway.
        to: GatewayId,
        /// What to send.
        message: PeerMessage,
    },
}
