//! What the router requires of a routing policy, and the policy of the gateway on the platform.

use crate::answer::FinalAnswer;
use crate::messages::BackendUpdate;
use std::convert::Infallible;
use vanewharf_http1::Reply;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{Action, Arrival, BackendId, Event, Idempotency, Ticks, TxnId};

/// Decides where requests go. The router calls it from one task only.
pub trait RoutingPolicy {
    /// What the policy learns through a queue of its own, alongside events.
    type Update;

    /// Decides on a batch of events; the actions are carried out in order.
    fn decide(&mut self, now: Ticks, events: Vec<Event>) -> Vec<Action>;

    /// Whether the request may run more than once.
    fn idempotency(&self, arrival: &Arrival) -> Idempotency;

    /// Takes an update in; returns the backends by which the connection pool is to be changed, if any.
    fn apply_update(&mut self, now: Ticks, update: Self::Update) -> Option<BackendUpdate>;

    /// Header fields for this backend alongside those of the client.
    fn extra_headers(&self, _txn: TxnId, _backend: BackendId) -> Vec<(&'static str, String)> {
        Vec::new()
    }

    /// The answer that a request ends with; `failure` is the last backend's reply that was an error.
    fn final_answer(&self, _txn: TxnId, answer: FinalAnswer, _failure: Option<Reply>) -> FinalAnswer {
        answer
    }
}

/// The policy as it was configured at the start; it gets no updates.
pub struct PlatformPolicy {
    /// All decisions.
    pub balancer: Balancer,
    /// Whether requests for each product may run more than once, by the product's number.
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
