//! One simulated gateway: its policy instance, its queued events, and the conversion between protocol lines and the
//! policy's events and actions.

use crate::wire::{InvalidLine, Line, LineProblem, Milliseconds};
use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::fmt::{self, Write};
use std::hash::{Hash, Hasher};
use vanewharf_gateway_settings::PolicyNames;
use vanewharf_policy::codec;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptNumber, AttemptReport, BackendId, BackendInfo, BackendStatus, CounterKey,
    CounterReply, CustomerId, Event, GatewayId, Outcome, PeerMessage, QuotaClaim, Ticks, TimerId, TxnId,
};

/// The flag in `state_bits` by which a client marks a retry.
const RETRY_FLAG: u32 = 2;
/// Width of customer IDs, the same as in the gateway program (`vanewharf-gateway`).
const CUSTOMER_ID_BITS: u32 = 33;

/// Maps backend names to numeric IDs, which count up from 0 in the order in which names are first seen.
#[derive(Default)]
struct BackendNames {
    ids: HashMap<String, u32>,
    names: Vec<String>,
}

impl BackendNames {
    fn get_or_assign_id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return BackendId(id);
        }
        let id = self.names.len() as u32;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        BackendId(id)
    }

    fn name(&self, id: BackendId) -> &str {
        &self.names[id.0 as usize]
    }
}

/// A gateway between its `LAUNCH` and its `KILLED` message.
pub struct SimulatedGateway {
    balancer: Balancer,
    pending_events: Vec<Event>,
    names: PolicyNames,
    backends: BackendNames,
}

impl SimulatedGateway {
    /// Creates a gateway. `names` maps the plan and product names of its settings to the policy's IDs.
    pub fn new(balancer: Balancer, names: PolicyNames) -> SimulatedGateway {
        SimulatedGateway { balancer, names, pending_events: Vec::new(), backends: BackendNames::default() }
    }

    /// Queues an event for the current batch.
    pub fn push_event(&mut self, event: Event) {
        self.pending_events.push(event);
    }

    /// Passes the queued events to the policy and returns its actions. The policy is not called if no event is queued.
    pub fn decide(&mut self, now: Ticks) -> Vec<Action> {
        if self.pending_events.is_empty() {
            return Vec::new();
        }
        self.balancer.decide(now, std::mem::take(&mut self.pending_events))
    }

    /// Parses an entry of a backend list.
    ///
    /// # Errors
    /// Returns an error if a field is missing or invalid.
    pub fn read_backend(&mut self, line: &Line<'_>) -> Result<BackendInfo, InvalidLine> {
        let status = match line.required::<u32>("mode")? {
            2 => BackendStatus::Ready,
            1 => BackendStatus::Draining,
            3 => BackendStatus::Gone,
            code => return Err(unknown_code(line, "mode", "standing", code)),
        };
        Ok(BackendInfo {
            backend: self.backends.get_or_assign_id(line.required_text("backend")?),
            status,
            capacity: line.number("scale")?.unwrap_or(1.0),
            local: line.text("hall").unwrap_or_default() == self.names.locality,
            started_at: line.time("boot_time")?.filter(|at| at.0 > 0),
        })
    }

    /// Parses an event. Messages that the policy does not use are validated and give `None`.
    ///
    /// # Errors
    /// Returns an error if the message is unknown, or a field is missing or invalid.
    pub fn read_event(&self, line: &Line<'_>) -> Result<Option<Event>, InvalidLine> {
        Ok(match line.message {
            "ORDER" => Some(Event::RequestArrived(self.read_arrival(line)?)),
            "ATTEMPT_END" => Some(Event::AttemptEnded(read_attempt_report(line)?)),
            "HEAD_RECEIVED" => {
                line.required::<u64>("txn")?;
                None
            }
            "CLIENT_LEFT" => Some(Event::ClientDisconnected(TxnId(line.required("txn")?))),
            "DUE" => Some(Event::TimerFired(TimerId(line.required("ctx")?))),
            "CHECKED" => {
                read_outcome(line)?;
                None
            }
            "COUNTER_REPLY" => {
                let reply = read_counter_reply(line)?;
                Some(Event::CounterReplied { key: CounterKey(line.required("name")?), reply })
            }
            "INBOX" => {
                let from = GatewayId(line.required("by")?);
                let message = read_peer_message(line.required_text("content")?);
                message.map(|message| Event::PeerMessageReceived { from, message })
            }
            _ => return Err(line.invalid(LineProblem::UnknownMessage)),
        })
    }

    fn read_arrival(&self, line: &Line<'_>) -> Result<Arrival, InvalidLine> {
        Ok(Arrival {
            txn: TxnId(line.required("txn")?),
            product: look_up_name(line, "band", &self.names.products)?,
            claim: QuotaClaim {
                customer: customer_id(line.required_text("client_id")?),
                plan: look_up_name(line, "plan", &self.names.plans)?,
                subset_start: line.number("from_no")?.unwrap_or_default() as u32,
                subset_size: line.number("width")?.unwrap_or_default() as u32,
                cost: line.number("cost_units")?.unwrap_or_default(),
                retry: line.optional("state_bits", 0u32)? & RETRY_FLAG > 0,
            },
            deadline: line.required_time("client_deadline")?,
        })
    }

    /// Appends one protocol line per action to `reply`.
    pub fn write_actions(&self, actions: &[Action], reply: &mut String) {
        for action in actions {
            self.write_action(action, reply).expect("writing to a string does not fail");
            reply.push('\n');
        }
    }

    fn write_action(&self, action: &Action, reply: &mut String) -> fmt::Result {
        match *action {
            Action::SendAttempt { txn, backend, timeout } => {
                write!(reply, "TRANSMIT txn={} backend={}", txn.0, self.backends.name(backend))?;
                timeout.map_or(Ok(()), |span| write!(reply, " cap={}", Milliseconds(span)))
            }
            Action::CancelAttempt { txn, attempt } => {
                write!(reply, "CANCEL txn={} leg={}", txn.0, attempt.0)
            }
            Action::Reject { txn, retry_after } => {
                write!(reply, "DECLINE txn={}", txn.0)?;
                retry_after.map_or(Ok(()), |span| write!(reply, " stay_away={}", Milliseconds(span)))
            }
            Action::Fail { txn } => write!(reply, "REPORT_FAILURE txn={}", txn.0),
            Action::SetTimer { after, timer } => {
                write!(reply, "SCHEDULE after={} ctx={}", Milliseconds(after), timer.0)
            }
            Action::IncrementCounter { key, amount, expire_after } => {
                let expire_after = Milliseconds(expire_after);
                write!(reply, "INCR name={} step={amount} forget_after={expire_after}", key.0)
            }
            Action::SendPeerMessage { to, message } => {
                write!(reply, "NOTIFY to={} content=", to.0)?;
                codec::encode(&message).iter().try_for_each(|byte| write!(reply, "{byte:02x}"))
            }
        }
    }
}

fn read_attempt_report(line: &Line<'_>) -> Result<AttemptReport, InvalidLine> {
    // `quota_use` is the usage in percent plus 1; 0 means that there is no reading.
    let usage = line.number("quota_use")?.filter(|&usage| usage >= 1.0);
    Ok(AttemptReport {
        txn: TxnId(line.required("txn")?),
        attempt: AttemptNumber(line.required("leg")?),
        outcome: read_outcome(line)?,
        latency: line.time("delay_seen")?.unwrap_or_default(),
        complete: line.flag("complete")?,
        metered_usage: usage.map(|usage| (usage - 1.0) / 100.0),
        actual_cost: line.number("billed")?.filter(|&cost| cost > 0.0),
    })
}

fn read_outcome(line: &Line<'_>) -> Result<Outcome, InvalidLine> {
    Ok(match line.required::<u32>("state_code")? {
        0 => Outcome::Succeeded,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::ConnectionLost,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        code => return Err(unknown_code(line, "state_code", "outcome", code)),
    })
}

fn read_counter_reply(line: &Line<'_>) -> Result<CounterReply, InvalidLine> {
    Ok(match line.required::<u32>("state_code")? {
        0 => CounterReply::Total(line.number("result_value")?.unwrap_or_default()),
        2 | 4 => CounterReply::NotAdded,
        3 => CounterReply::Unknown,
        code => return Err(unknown_code(line, "state_code", "counter's answer", code)),
    })
}

/// Returns `None` for a message that cannot be decoded: another build may have sent it, and it is ignored.
fn read_peer_message(content: &str) -> Option<PeerMessage> {
    codec::decode(&decode_hex(content)?)
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let pair = |pair: &[u8]| match *pair {
        [high, low] => Some((digit(high)? << 4 | digit(low)?) as u8),
        _ => None,
    };
    text.as_bytes().chunks(2).map(pair).collect()
}

fn unknown_code(line: &Line<'_>, field: &'static str, meaning: &'static str, code: u32) -> InvalidLine {
    line.invalid(LineProblem::UnknownCode { field, meaning, code })
}

fn look_up_name<T: Copy>(line: &Line<'_>, field: &str, names: &HashMap<String, T>) -> Result<T, InvalidLine> {
    let name = line.required_text(field)?;
    let unknown = || LineProblem::UnknownName { field: field.to_owned(), name: name.to_owned() };
    names.get(name).copied().ok_or_else(|| line.invalid(unknown()))
}

/// Derives a customer's ID from its name. `DefaultHasher::new` hashes with fixed keys, as all gateways must derive
/// the same ID: the keys of the shared counter are computed from it.
fn customer_id(name: &str) -> CustomerId {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    CustomerId(hasher.finish() & ((1 << CUSTOMER_ID_BITS) - 1))
}
