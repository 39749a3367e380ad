//! One door behind the wire: its decisions, and the names it has met under the ids given them.

use crate::wire::{Line, Malformed, Millis};
use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::fmt::Write;
use std::hash::{Hash, Hasher};
use vanewharf_gateway_settings::SettingNames;
use vanewharf_policy::codec;
use vanewharf_policy::decide::Balancer;
use vanewharf_policy::interface::{
    Action, Arrival, AttemptNumber, AttemptReport, BackendId, BackendInfo, BackendStatus, CounterKey,
    CounterReply, CustomerId, Event, GatewayId, Outcome, QuotaClaim, TimerId, TxnId,
};

#[derive(Default)]
struct Names {
    ids: HashMap<String, u32>,
    in_order: Vec<String>,
}

impl Names {
    fn id(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.in_order.len() as u32;
        self.ids.insert(name.to_owned(), id);
        self.in_order.push(name.to_owned());
        id
    }
}

pub struct Host {
    pub door: Balancer,
    pub events: Vec<Event>,
    named: SettingNames,
    backends: Names,
}

fn outcome(line: &Line<'_>) -> Result<Outcome, Malformed> {
    Ok(match line.whole::<u32>("state_code")? {
        0 => Outcome::Succeeded,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::ConnectionLost,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(line.fault(format!("field state_code is no outcome: '{other}'"))),
    })
}

fn known<T: Copy>(line: &Line<'_>, field: &str, names: &HashMap<String, T>) -> Result<T, Malformed> {
    let name = line.need(field)?;
    let fault = || line.fault(format!("field {field} names nothing told: '{name}'"));
    names.get(name).copied().ok_or_else(fault)
}

/// Every door must give a customer the same id, as the shared counter's names are made of it: the
/// wire's name, hashed by the standard library's fixed keys into the range of the sockets' keys (2^33).
fn customer(name: &str) -> CustomerId {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    CustomerId(hasher.finish() & ((1 << 33) - 1))
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let pair = |pair: &[u8]| match *pair {
        [high, low] => Some((digit(high)? << 4 | digit(low)?) as u8),
        _ => None,
    };
    text.as_bytes().chunks(2).map(pair).collect()
}

impl Host {
    pub fn new(door: Balancer, named: SettingNames) -> Host {
        Host { door, named, events: Vec::new(), backends: Names::default() }
    }

    pub fn entry(&mut self, line: &Line<'_>) -> Result<BackendInfo, Malformed> {
        let standing = match line.whole::<u32>("mode")? {
            2 => BackendStatus::Ready,
            1 => BackendStatus::Draining,
            3 => BackendStatus::Gone,
            other => return Err(line.fault(format!("field mode is no standing: '{other}'"))),
        };
        Ok(BackendInfo {
            backend: BackendId(self.backends.id(line.need("backend")?)),
            status: standing,
            capacity: line.number("scale")?.unwrap_or(1.0),
            local: line.text("hall").unwrap_or_default() == self.named.locality,
            started_at: line.time("boot_time")?.filter(|at| at.0 > 0),
        })
    }

    pub fn arrival(&mut self, line: &Line<'_>) -> Result<Arrival, Malformed> {
        Ok(Arrival {
            txn: TxnId(line.whole("txn")?),
            product: known(line, "band", &self.named.products)?,
            claim: QuotaClaim {
                customer: customer(line.need("client_id")?),
                plan: known(line, "plan", &self.named.plans)?,
                subset_start: line.number("from_no")?.unwrap_or_default() as u32,
                subset_size: line.number("width")?.unwrap_or_default() as u32,
                cost: line.number("cost_units")?.unwrap_or_default(),
                retry: line.whole_or("state_bits", 0u32)? & 2 > 0,
            },
            deadline: line.need_time("client_deadline")?,
        })
    }

    pub fn ending(&self, line: &Line<'_>) -> Result<AttemptReport, Malformed> {
        let metered = line.number("quota_use")?.filter(|&told| told >= 1.0);
        Ok(AttemptReport {
            txn: TxnId(line.whole("txn")?),
            attempt: AttemptNumber(line.whole("leg")?),
            outcome: outcome(line)?,
            latency: line.time("delay_seen")?.unwrap_or_default(),
            complete: line.flag("complete")?,
            metered_usage: metered.map(|told| (told - 1.0) / 100.0),
            actual_cost: line.number("billed")?.filter(|&cost| cost > 0.0),
        })
    }

    /// Only what the decisions hear; the other messages are checked and end here.
    pub fn event(&mut self, line: &Line<'_>) -> Result<Option<Event>, Malformed> {
        Ok(match line.message {
            "ORDER" => Some(Event::RequestArrived(self.arrival(line)?)),
            "ATTEMPT_END" => Some(Event::AttemptEnded(self.ending(line)?)),
            "HEAD_RECEIVED" => {
                line.whole::<u64>("txn")?;
                None
            }
            "CLIENT_LEFT" => Some(Event::ClientDisconnected(TxnId(line.whole("txn")?))),
            "DUE" => Some(Event::TimerFired(TimerId(line.whole("ctx")?))),
            "CHECKED" => {
                outcome(line)?;
                None
            }
            "COUNTER_REPLY" => {
                let counted = match line.whole::<u32>("state_code")? {
                    0 => CounterReply::Total(line.number("result_value")?.unwrap_or_default()),
                    2 | 4 => CounterReply::NotAdded,
                    3 => CounterReply::Unknown,
                    other => {
                        return Err(line.fault(format!("field state_code is no counter's answer: '{other}'")));
                    }
                };
                Some(Event::CounterReplied { key: CounterKey(line.whole("name")?), reply: counted })
            }
            "INBOX" => {
                let from = GatewayId(line.whole("by")?);
                // What cannot be read is another build's, and none of this one's concern.
                unhex(line.need("content")?)
                    .and_then(|letter| codec::decode(&letter))
                    .map(|word| Event::PeerMessageReceived { from, message: word })
            }
            _ => return Err(line.fault("unknown message".to_owned())),
        })
    }

    pub fn write(&self, actions: &[Action], reply: &mut String) {
        for action in actions {
            let written = match *action {
                Action::SendAttempt { txn, backend, timeout: time_out } => {
                    let name = &self.backends.in_order[backend.0 as usize];
                    let begun = write!(reply, "TRANSMIT txn={} backend={name}", txn.0);
                    match time_out {
                        Some(span) => begun.and_then(|()| write!(reply, " cap={}", Millis(span))),
                        None => begun,
                    }
                }
                Action::CancelAttempt { txn, attempt: no } => {
                    write!(reply, "CANCEL txn={} leg={}", txn.0, no.0)
                }
                Action::Reject { txn, retry_after: None } => {
                    write!(reply, "DECLINE txn={}", txn.0)
                }
                Action::Reject { txn, retry_after: Some(span) } => {
                    write!(reply, "DECLINE txn={} stay_away={}", txn.0, Millis(span))
                }
                Action::Fail { txn } => write!(reply, "REPORT_FAILURE txn={}", txn.0),
                Action::SetTimer { after, timer } => {
                    write!(reply, "SCHEDULE after={} ctx={}", Millis(after), timer.0)
                }
                Action::IncrementCounter { key: name, amount: step, expire_after: forget_after } => {
                    write!(reply, "INCR name={} step={step} forget_after={}", name.0, Millis(forget_after))
                }
                Action::SendPeerMessage { to, message: word } => {
                    let begun = write!(reply, "NOTIFY to={} content=", to.0);
                    codec::encode(&word)
                        .iter()
                        .fold(begun, |so_far, byte| so_far.and_then(|()| write!(reply, "{byte:02x}")))
                }
            };
            written.expect("a string takes all that is written to it");
            reply.push('\n');
        }
    }
}
