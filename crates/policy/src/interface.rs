//! The interface between the policy of one gateway and the program that runs it: identifiers, times, the configuration of
//! a [`Balancer`](crate::decide::Balancer), its input events and its output actions.
//!
//! The types hold no state and do no input or output. [`PeerMessage`] and the types inside it are sent between gateways
//! in a positional encoding (see [`crate::codec`]): the order of their fields and variants must not change.

mod config;

pub use config::*;
use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// An instant or a duration, in ticks of 0.1 ms. An instant counts from an origin that the program chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticks(pub i64);

impl Ticks {
    /// One second.
    pub const SECOND: Ticks = Ticks(10_000);

    /// Returns this duration in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / Self::SECOND.0 as f64
    }

    /// Returns this duration multiplied by `factor`, rounded towards zero.
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
    /// Identifies a client's request; unique at one gateway.
    TxnId(u64),
    /// Identifies a backend; each gateway numbers the backends itself.
    BackendId(u32),
    /// Identifies a customer; the same at all gateways.
    CustomerId(u64),
    /// The index of a plan in [`BalancerConfig::plans`].
    PlanId(usize),
    /// The index of a product in [`BalancerConfig::products`].
    ProductId(usize),
    /// The index of an attempt among those of its request; the first is 0.
    AttemptNumber(u32),
    /// Identifies a timer set by [`Action::SetTimer`].
    TimerId(u64),
    /// A key of the shared quota counter.
    CounterKey(u64),
    /// The index of a gateway among all gateways.
    GatewayId(u32),
    /// Identifies a quota request to a peer; unique at the gateway that sent it.
    QuotaRequestId(u32),
);

/// The quota that a request needs. The customer's requests arrive at a subset of the gateways: `subset_size` gateways from
/// `subset_start` on, modulo the number of gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaClaim {
    /// The customer whose quota is charged.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// The first gateway in the customer's subset.
    pub subset_start: u32,
    /// The number of gateways in the subset. In an [`Arrival`], zero means all gateways.
    pub subset_size: u32,
    /// The cost of the request in units, possibly an estimate.
    pub cost: f64,
    /// Whether the client marked the request as a retry of one that did not succeed.
    pub retry: bool,
}

/// The rejection of a claim that exceeds the quota.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRejection {
    /// The time until the quota would admit the claim, if known.
    pub retry_after: Option<Ticks>,
}

/// Whether the quota admits a claim.
pub type QuotaDecision = Result<(), QuotaRejection>;

/// A message between gateways about a customer's quota. Each customer has owners: gateways that each manage a part of the
/// quota and decide claims for the others. Any message may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks an owner whether its part of the quota admits a claim.
    QuotaRequest {
        /// The identifier that the response repeats.
        request: QuotaRequestId,
        /// The claim to decide.
        claim: QuotaClaim,
    },
    /// The owner's response to a `QuotaRequest`.
    QuotaResponse {
        /// The identifier of the request.
        request: QuotaRequestId,
        /// The claim that was decided.
        claim: QuotaClaim,
        /// The decision. If it is positive, the owner has charged the claim.
        decision: QuotaDecision,
    },
    /// Notifies a gateway that a customer demands far more than its quota.
    QuotaExhausted {
        /// The customer.
        customer: CustomerId,
    },
    /// Refunds a claim that the owner charged but whose response arrived too late.
    QuotaRefund {
        /// The claim to refund.
        claim: QuotaClaim,
    },
}

impl PeerMessage {
    /// Returns the claim in the message, if it has one.
    pub fn claim(&self) -> Option<&QuotaClaim> {
        match self {
            PeerMessage::QuotaRequest { claim, .. }
            | PeerMessage::QuotaResponse { claim, .. }
            | PeerMessage::QuotaRefund { claim } => Some(claim),
            PeerMessage::QuotaExhausted { .. } => None,
        }
    }
}

/// The result of one call to the shared quota counter (`COUNTER_REPLY` in the external simulator's protocol).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    /// The total of the key after this call, in units.
    Total(f64),
    /// The counter rejected the call or could not be reached; nothing was added.
    NotAdded,
    /// The call timed out or its reply cannot be read; the amount may have been added, or may still be.
    Unknown,
}

/// The status of a backend as reported by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendStatus {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Has been removed.
    Gone,
}

/// One backend as reported by discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendInfo {
    /// The backend.
    pub backend: BackendId,
    /// Whether it accepts requests.
    pub status: BackendStatus,
    /// Its capacity relative to other backends.
    pub capacity: f64,
    /// Whether it is in this gateway's zone.
    pub local: bool,
    /// When it started, if known.
    pub started_at: Option<Ticks>,
}

/// A request that has arrived from a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The request.
    pub txn: TxnId,
    /// The product that it is for.
    pub product: ProductId,
    /// The quota that it needs.
    pub claim: QuotaClaim,
    /// The time at which its client stops waiting.
    pub deadline: Ticks,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The backend returned a successful response.
    Succeeded,
    /// The backend returned an error; the request may have run.
    Error,
    /// The backend rejected the request without running it.
    Rejected,
    /// No response arrived in time; the request may have run.
    TimedOut,
    /// No connection could be opened, or it was lost before anything was sent.
    ConnectFailed,
    /// The connection was lost after at least a part of the request was sent; the request may have run.
    ConnectionLost,
    /// This gateway cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt was not sent because its request had already ended.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the backend did not run the request.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The result of an attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// The request.
    pub txn: TxnId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time from the start of the attempt to its end.
    pub latency: Ticks,
    /// Whether the client has received its final answer.
    pub complete: bool,
    /// The customer's metered usage at all gateways, as a fraction of its quota.
    pub metered_usage: Option<f64>,
    /// The actual cost of the request, in units.
    pub actual_cost: Option<f64>,
}

/// An input of the policy.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery reported the complete list of backends; any backend not in it has been removed.
    BackendList(Vec<BackendInfo>),
    /// Discovery reported changed or new backends.
    BackendChanges(Vec<BackendInfo>),
    /// A request has arrived.
    RequestArrived(Arrival),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// The client of a request has disconnected; the request needs no answer.
    ClientDisconnected(TxnId),
    /// A timer set by [`Action::SetTimer`] has expired.
    TimerFired(TimerId),
    /// The shared counter replied to an [`Action::IncrementCounter`]. Replies for one key are in the order of the calls.
    CounterReplied {
        /// The key of the call.
        key: CounterKey,
        /// The result of the call.
        reply: CounterReply,
    },
    /// A message from another gateway has arrived.
    PeerMessageReceived {
        /// The sender.
        from: GatewayId,
        /// The message.
        message: PeerMessage,
    },
}

/// An output of the policy, which the program carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a backend.
    SendAttempt {
        /// The request.
        txn: TxnId,
        /// The backend.
        backend: BackendId,
        /// How long to wait for the response; `None` means until the client stops waiting.
        timeout: Option<Ticks>,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request.
        txn: TxnId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Send the client the final answer that the request was not served and may safely be retried.
    Reject {
        /// The request.
        txn: TxnId,
        /// How long the client is told to wait before a retry.
        retry_after: Option<Ticks>,
    },
    /// Send the client the final answer that the request may have run and must not be retried.
    Fail {
        /// The request.
        txn: TxnId,
    },
    /// Deliver [`Event::TimerFired`] after a delay.
    SetTimer {
        /// The delay.
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
        /// How long the counter keeps the key if this call creates it.
        expire_after: Ticks,
    },
    /// Send a message to another gateway; it may be lost.
    SendPeerMessage {
        /// The receiver.
        to: GatewayId,
        /// The message.
        message: PeerMessage,
    },
}
