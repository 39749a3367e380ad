//! The services beside the backends: the shared quota counter, and messages between gateways.

use super::Simulation;
use super::event_queue::SimEvent;
use crate::policy::Policy;
use crate::random::{millis, seconds};
use std::collections::HashMap;
use vanewharf_policy::codec;
use vanewharf_policy::interface::{CounterKey, CounterReply, Event, GatewayId, PeerMessage, Ticks};

/// The zone in which the shared counter stands.
const COUNTER_ZONE: usize = 0;
/// A shard rejects calls that would wait longer than so many timeouts.
const MAX_QUEUED_TIMEOUTS: f64 = 2.0;

/// A key's total, and when the counter drops it.
struct CounterTotal {
    units: f64,
    expires_at: Ticks,
}

/// One shard of the shared counter: it handles its calls one after the other.
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

/// A gateway's call to the shared counter.
#[derive(Debug)]
pub(super) struct CounterCall {
    gateway: usize,
    incarnation: u32,
    key: CounterKey,
    amount: f64,
    expire_after: Ticks,
    sent_at: Ticks,
}

/// How many peer messages a gateway can still take in: a bucket of a second's worth.
pub(super) struct Intake {
    at: Ticks,
    room: f64,
}

impl Intake {
    pub(super) fn new(now: Ticks) -> Intake {
        Intake { at: now, room: 0.0 }
    }

    /// Whether a message that arrives then is taken in.
    fn try_take(&mut self, arrives_at: Ticks, per_s: f64) -> bool {
        let gap = (arrives_at - self.at).seconds().max(0.0);
        self.room = (self.room + gap * per_s).min(per_s);
        self.at = arrives_at.max(self.at);
        let taken = self.room >= 1.0;
        self.room -= f64::from(u8::from(taken));
        taken
    }
}

impl<P: Policy> Simulation<'_, P> {
    /// A gateway calls the shared counter.
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

    /// The reply to a call, and when its gateway has it; none where there is no counter.
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
        let back = shard.busy_until + delay;
        if back - call.sent_at > timeout {
            Some((CounterReply::Unknown, call.sent_at + timeout))
        } else {
            Some((CounterReply::Total(total), back))
        }
    }

    /// A gateway sends a message to another; it may be lost, or dropped where it comes with too many.
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
        if !self.gateways[gateway].intake.try_take(arrives_at, peers.in_per_s) {
            self.score.usage.dropped_peer_messages += 1;
            return;
        }
        let incarnation = self.gateways[gateway].incarnation;
        let event = Event::PeerMessageReceived { from: GatewayId(from as u32), message };
        self.schedule(arrives_at, SimEvent::GatewayReceives { gateway, incarnation, event });
    }
}
