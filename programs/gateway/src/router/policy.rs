//! The router's interface to a routing policy, and the stand-alone gateway's implementation of it.

use crate::answer::FinalAnswer;
use crate::messages::BackendUpdate;
use std::convert::Infallible;
use vanewharf_http1::Reply;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{Action, Arrival, BackendId, Event, Idempotency, Ticks, TxnId};

/// Decides where requests are sent. Only the router task calls it.
pub trait RoutingPolicy {
    /// Updates that reach the policy through a separate queue, besides events.
    type Update;

    /// Decides on a batch of events; the router executes the returned actions in order.
    fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action>;

    /// Whether the request may run more than once.
    fn idempotency(&self, arrival: &Arrival) -> Idempotency;

    /// Applies an update; returns the changes to apply to the connection pool, if any.
    fn apply_update(&mut self, now: Ticks, update: Self::Update) -> Option<BackendUpdate>;

    /// Header fields to add to the client's for this backend.
    fn extra_headers(&self, _txn: TxnId, _backend: BackendId) -> Vec<(&'static str, String)> {
        Vec::new()
    }

    /// The final answer to a request; `error_reply` is the last error reply of a backend.
    fn final_answer(&self, _txn: TxnId, answer: FinalAnswer, _error_reply: Option<Reply>) -> FinalAnswer {
        answer
    }
}

/// The stand-alone gateway's policy. It is configured at startup and has no updates.
pub struct PlatformPolicy {
    /// The balancer, which makes all decisions.
    pub balancer: Balancer,
    /// Whether requests for a product may run more than once, indexed by product number.
    pub idempotency: Vec<Idempotency>,
}

impl RoutingPolicy for PlatformPolicy {
    type Update = Infallible;

    fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action> {
        self.balancer.decide(now, events)
    }

    fn idempotency(&self, arrival: &Arrival) -> Idempotency {
        self.idempotency[arrival.product.0]
    }

    fn apply_update(&mut self, _: Ticks, update: Infallible) -> Option<BackendUpdate> {
        match update {}
    }
}
