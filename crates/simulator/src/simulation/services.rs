//! Supporting services: the shared quota counter, and messages between gateways.

use super::Simulation;
use super::event_queue::SimEvent;
use crate::policy::Policy;
use crate::random::{millis, seconds};
use std::collections::HashMap;
use vanewharf_policy::codec;
use vanewharf_policy::interface::{CounterKey, CounterReply, Event, GatewayId, PeerMessage, Ticks};

/// Zone of the shared counter.
const COUNTER_ZONE: usize = 0;
/// Longest queueing delay of a shard, as a multiple of the gateways' timeout. A shard rejects calls beyond it.
const MAX_QUEUED_TIMEOUTS: f64 = 2.0;

/// Total of a key, and the time at which it expires.
struct CounterTotal {
    units: f64,
    expires_at: Ticks,
}

/// A shard of the shared counter, which processes its calls sequentially.
#[derive(Default)]
pub(super) struct CounterShard {
    busy_until: Ticks,
    totals: HashMap<u64, CounterTotal>,
}

impl CounterShard {
    fn add(&mut self, key: CounterKey, amount: f64, expire_after: Ticks, now: Ticks) -> f64 {
        let new = || CounterTotal { units: 0.0, expires_at: now + expire_after };
        let total = self.totals.entry(key.0).or_insert_with(new);
        if total.expires_at <= now {
            *total = new();
        }
        total.units += amount;
        total.units
    }
}

/// A call of a gateway to the shared counter.
#[derive(Debug)]
pub(super) struct CounterCall {
    gateway: usize,
    incarnation: u32,
    key: CounterKey,
    amount: f64,
    expire_after: Ticks,
    sent_at: Ticks,
}

/// Token bucket that limits the peer messages that a gateway accepts. It holds the messages of one second at most.
pub(super) struct PeerMessageLimiter {
    refilled_at: Ticks,
    tokens: f64,
}

impl PeerMessageLimiter {
    pub(super) fn new(now: Ticks) -> PeerMessageLimiter {
        PeerMessageLimiter { refilled_at: now, tokens: 0.0 }
    }

    /// Takes a token for a message that arrives at this time, and returns whether there was one.
    fn try_take(&mut self, arrives_at: Ticks, per_s: f64) -> bool {
        let elapsed_s = (arrives_at - self.refilled_at).seconds().max(0.0);
        self.tokens = (self.tokens + elapsed_s * per_s).min(per_s);
        self.refilled_at = arrives_at.max(self.refilled_at);
        let accepted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(accepted));
        accepted
    }
}

impl<P: Policy> Simulation<'_, P> {
    /// Sends a call of a gateway to the shared counter.
    pub(super) fn call_counter(&mut self, gateway: usize, key: CounterKey, amount: f64, expire_after: Ticks) {
        self.score.usage.counter_calls += 1;
        let incarnation = self.gateways[gateway].incarnation;
        let delay = self.one_way_delay(self.gateways[gateway].zone != COUNTER_ZONE);
        let sent_at = self.now;
        let call = CounterCall { gateway, incarnation, key, amount, expire_after, sent_at };
        self.schedule(self.now + delay, SimEvent::CounterReceives(call));
    }

    pub(super) fn handle_counter_call(&mut self, call: CounterCall) {
        let Some((reply, at)) = self.counter_reply(&call) else {
            return;
        };
        self.score.usage.unanswered_calls += u64::from(!matches!(reply, CounterReply::Total(_)));
        let CounterCall { gateway, incarnation, key, .. } = call;
        let event = Event::CounterReplied { key, reply };
        self.schedule(at, SimEvent::GatewayReceives { gateway, incarnation, event });
    }

    /// Processes a call, and returns the reply and the time at which the gateway receives it. Returns none if the experiment
    /// has no counter.
    fn counter_reply(&mut self, call: &CounterCall) -> Option<(CounterReply, Ticks)> {
        let settings = self.experiment.counter.as_ref()?;
        let timeout = millis(settings.wait_ms);
        let delay = self.now - call.sent_at;
        let shards = self.counter.len().max(1) as u64;
        let shard = &mut self.counter[(call.key.0 % shards) as usize];
        if self.faults.counter_down {
            return Some((CounterReply::Unknown, call.sent_at + timeout));
        }
        if shard.busy_until - self.now > timeout.times(MAX_QUEUED_TIMEOUTS) {
            return Some((CounterReply::NotAdded, self.now + delay));
        }
        shard.busy_until = shard.busy_until.max(self.now) + seconds(1.0 / settings.per_s);
        let total = shard.add(call.key, call.amount, call.expire_after, self.now);
        let received_at = shard.busy_until + delay;
        if received_at - call.sent_at > timeout {
            Some((CounterReply::Unknown, call.sent_at + timeout))
        } else {
            Some((CounterReply::Total(total), received_at))
        }
    }

    /// Sends a message from one gateway to another. It may be lost in the network, or dropped by the receiver's limit.
    pub(super) fn send_peer_message(&mut self, from: usize, to: GatewayId, message: PeerMessage) {
        let gateway = to.0 as usize;
        let (Some(peers), true) = (&self.experiment.peers, gateway < self.gateways.len()) else {
            return;
        };
        self.score.usage.peer_messages += 1;
        self.score.usage.peer_message_bytes += codec::encode(&message).len() as u64;
        if self.random.services.unit() < peers.loss {
            return;
        }
        let arrives_at = self.now + millis(self.random.services.span(peers.takes_ms));
        if !self.gateways[gateway].peer_message_limiter.try_take(arrives_at, peers.in_per_s) {
            self.score.usage.dropped_peer_messages += 1;
            return;
        }
        let incarnation = self.gateways[gateway].incarnation;
        let event = Event::PeerMessageReceived { from: GatewayId(from as u32), message };
        self.schedule(arrives_at, SimEvent::GatewayReceives { gateway, incarnation, event });
    }
}
