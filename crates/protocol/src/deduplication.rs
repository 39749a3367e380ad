//! Ids of internal calls, and the history by which a server recognizes a call that arrives again, because the
//! network delayed or duplicated it. Such a call has no effect.

use crate::endpoints;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use tokio::time::Instant;

/// The maximum number of callers in a history. Beyond it, the callers that called longest ago are evicted; a
/// repeated call of an evicted caller would be handled as a new one.
const MAX_CALLERS: usize = 4096;

/// Identifies an internal call. Its text form is two hexadecimal numbers joined by `-`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId {
    /// A random id that each client draws when it is created. A client has one call in flight at a time.
    pub caller: u64,
    /// The number of the call among the client's calls.
    pub sequence: u64,
}

/// The error for a header value that is not a [`CallId`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the call's id cannot be read")]
pub struct MalformedCallId;

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.caller, self.sequence)
    }
}

impl FromStr for CallId {
    type Err = MalformedCallId;

    fn from_str(text: &str) -> Result<CallId, MalformedCallId> {
        let number = |text: &str| u64::from_str_radix(text, 16).map_err(|_| MalformedCallId);
        let (caller, sequence) = text.split_once('-').ok_or(MalformedCallId)?;
        Ok(CallId { caller: number(caller)?, sequence: number(sequence)? })
    }
}

/// Whether calls to the path are not idempotent. Such a call is retried under the same id, and the server repeats
/// its previous response. All other calls are idempotent and are retried under a new id.
pub fn is_non_idempotent(path: &str) -> bool {
    path == endpoints::LEASE_TOKENS
}

/// What a server remembers of one caller.
#[derive(Clone, Debug)]
struct CallerState<T> {
    /// The number of the caller's latest call.
    sequence: u64,
    /// The response to the latest call; `None` if there is none yet or it was not recorded.
    response: Option<T>,
    last_call_at: Instant,
}

/// Whether a call arrived before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStatus<T> {
    /// The call has not arrived before.
    New,
    /// The call has arrived before and received this response.
    Answered(T),
    /// This call, or a later one of the same caller, has arrived before, and no response to this call is recorded.
    Repeated,
}

/// The latest call of each caller, with responses of type `T`.
#[derive(Clone, Debug)]
pub struct CallHistory<T> {
    callers: BTreeMap<u64, CallerState<T>>,
}

impl<T> Default for CallHistory<T> {
    fn default() -> Self {
        CallHistory { callers: BTreeMap::new() }
    }
}

impl<T: Clone> CallHistory<T> {
    /// Returns the status of the call, and records the call if it is new.
    pub fn observe(&mut self, id: CallId, now: Instant) -> CallStatus<T> {
        let fresh = CallerState { sequence: id.sequence, response: None, last_call_at: now };
        match self.callers.get_mut(&id.caller) {
            Some(known) if id.sequence <= known.sequence => {
                let response = known.response.clone().filter(|_| id.sequence == known.sequence);
                return response.map_or(CallStatus::Repeated, CallStatus::Answered);
            }
            Some(known) => *known = fresh,
            None => {
                if self.callers.len() >= MAX_CALLERS {
                    self.evict_oldest_quarter();
                }
                self.callers.insert(id.caller, fresh);
            }
        }
        CallStatus::New
    }

    /// Records the response to a call until the caller's next call arrives. Ignores it if that has arrived already.
    pub fn record_response(&mut self, id: CallId, response: T) {
        if let Some(known) = self.callers.get_mut(&id.caller)
            && known.sequence == id.sequence
        {
            known.response = Some(response);
        }
    }

    /// Evicts a quarter of the callers at once, so that the sort is rarely needed.
    fn evict_oldest_quarter(&mut self) {
        let mut times: Vec<_> = self.callers.values().map(|caller| caller.last_call_at).collect();
        times.sort_unstable();
        let cutoff = times[times.len() / 4];
        self.callers.retain(|_, caller| caller.last_call_at > cutoff);
    }
}

#[cfg(test)]
mod tests;
