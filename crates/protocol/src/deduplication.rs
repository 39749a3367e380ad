//! Ids of calls between the system's own processes, and what a server remembers of them: a call that arrives
//! again, late or duplicated by the network, is recognized and has no effect.

use crate::endpoints;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use tokio::time::Instant;

/// Callers that are remembered; of more, those that called longest ago are forgotten, and a call of theirs
/// that arrives again would pass for a new one.
const MAX_CALLERS: usize = 4096;

/// Identifies a call. It is written as two hexadecimal numbers, joined by `-`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId {
    /// Drawn by each client at its start. A client has one call in flight at a time.
    pub caller: u64,
    /// Counts the client's calls.
    pub sequence: u64,
}

/// A header field that holds no [`CallId`].
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

/// Whether the effects of two equal calls add up. Such a call is retried under the same id, and the server
/// gives the answer that it gave before. All others are idempotent, and are retried under a new id.
pub fn has_cumulative_effect(path: &str) -> bool {
    path == endpoints::LEASE_TOKENS
}

/// The latest call of one caller.
#[derive(Clone, Debug)]
struct CallerState<T> {
    /// Of its latest call.
    sequence: u64,
    /// The answer to its latest call; none where it is not given yet, or was not recorded.
    answer: Option<T>,
    last_call_at: Instant,
}

/// Whether a server has seen a call before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStatus<T> {
    /// It has not arrived before.
    New,
    /// It has arrived before, and was given this answer.
    Answered(T),
    /// It, or a later one of its caller, has arrived before; no answer to it is recorded.
    Repeated,
}

/// The latest call of each caller, with answers of type `T`.
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
    /// Records the call where it is new, and returns its status.
    pub fn observe(&mut self, id: CallId, now: Instant) -> CallStatus<T> {
        let fresh = CallerState { sequence: id.sequence, answer: None, last_call_at: now };
        match self.callers.get_mut(&id.caller) {
            Some(known) if id.sequence <= known.sequence => {
                let answer = known.answer.clone().filter(|_| id.sequence == known.sequence);
                return answer.map_or(CallStatus::Repeated, CallStatus::Answered);
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

    /// Remembers the answer until its caller's next call; ignored where that has arrived already.
    pub fn record_answer(&mut self, id: CallId, answer: T) {
        if let Some(known) = self.callers.get_mut(&id.caller)
            && known.sequence == id.sequence
        {
            known.answer = Some(answer);
        }
    }

    /// A quarter at a time, so that the sort is rare.
    fn evict_oldest_quarter(&mut self) {
        let mut times: Vec<_> = self.callers.values().map(|caller| caller.last_call_at).collect();
        times.sort_unstable();
        let oldest = times[times.len() / 4];
        self.callers.retain(|_, caller| caller.last_call_at > oldest);
    }
}

#[cfg(test)]
mod tests;
