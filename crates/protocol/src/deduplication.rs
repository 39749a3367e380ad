//! The ids of calls between the system's own processes, and what a callee remembers of them: a call that
//! comes again, late or doubled, is told so and changes nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use tokio::time::Instant;

/// Callers that are remembered; of more, those heard of longest ago are forgotten, and a call of theirs that
/// comes again would be taken for a new one.
const MOST_CALLERS: usize = 4096;

/// A caller's life, drawn anew with each, and the number of its call: a caller has one call under way at a
/// time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId {
    pub caller: u64,
    pub sequence: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.caller, self.sequence)
    }
}

impl FromStr for CallId {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<CallId, &'static str> {
        let number = |text: &str| u64::from_str_radix(text, 16).ok();
        let both = text.split_once('-').and_then(|(life, no)| number(life).zip(number(no)));
        both.map(|(life, no)| CallId { caller: life, sequence: no }).ok_or("the call's id cannot be read")
    }
}

/// Calls whose effect adds up. One that may not have arrived goes out again under the same id, and the callee
/// gives the answer that it gave before; all others change nothing when they come twice, and go out again as
/// new ones.
pub fn has_cumulative_effect(path: &str) -> bool {
    path == "/lend"
}

#[derive(Clone, Debug)]
struct Known<T> {
    no: u64,
    /// To that number; none where it is not given yet, or is not kept.
    answer: Option<T>,
    heard: Instant,
}

/// What a call is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStatus<T> {
    New,
    /// The answer that was given to it.
    Answered(T),
    /// It, or a later one of its caller, was heard before.
    Repeated,
}

#[derive(Clone, Debug)]
pub struct CallHistory<T> {
    callers: BTreeMap<u64, Known<T>>,
}

impl<T> Default for CallHistory<T> {
    fn default() -> Self {
        CallHistory { callers: BTreeMap::new() }
    }
}

impl<T: Clone> CallHistory<T> {
    pub fn observe(&mut self, id: CallId, now: Instant) -> CallStatus<T> {
        match self.callers.get_mut(&id.caller) {
            Some(known) if id.sequence <= known.no => {
                let answer = known.answer.clone().filter(|_| id.sequence == known.no);
                return answer.map_or(CallStatus::Repeated, CallStatus::Answered);
            }
            Some(known) => *known = Known { no: id.sequence, answer: None, heard: now },
            None => {
                if self.callers.len() >= MOST_CALLERS {
                    self.forget();
                }
                self.callers.insert(id.caller, Known { no: id.sequence, answer: None, heard: now });
            }
        }
        CallStatus::New
    }

    /// What was answered is kept until its caller's next call.
    pub fn record_answer(&mut self, id: CallId, answer: T) {
        let known = self.callers.get_mut(&id.caller).filter(|known| known.no == id.sequence);
        known.into_iter().for_each(|known| known.answer = Some(answer.clone()));
    }

    /// A quarter at a time, so that it costs little for each.
    fn forget(&mut self) {
        let mut times: Vec<_> = self.callers.values().map(|known| known.heard).collect();
        times.sort_unstable();
        let oldest = times[times.len() / 4];
        self.callers.retain(|_, known| known.heard > oldest);
    }
}

#[cfg(test)]
mod tests;
