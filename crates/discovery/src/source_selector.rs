//! Whom a door hears the control plane through. A postmaster or a neighbour that is cut off from the others
//! goes on answering with what it has; each answer says how long ago the register and all else in it were
//! certainly the newest, and a source whose own word is too old is left for others, however new what the door
//! has is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// How long a pull waits for news.
const WAIT: Duration = Duration::from_millis(300);
/// A source that is further behind than this is left for another. A lease that passes from one holder to the
/// next leaves all of them behind for about as long.
const BEHIND: Duration = Duration::from_millis(2000);
/// How long one that failed, or was behind, is not asked again while others are left: longer each time, as
/// each try is time in which the door hears nothing.
const SPARED: Duration = Duration::from_secs(3);
const MOST_SPARED: Duration = Duration::from_secs(12);

/// A pull from one that is behind, for want of a better one.
const SHORT: Duration = Duration::from_millis(100);

/// What the last answer, or the want of one, showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Failed,
    Behind,
    /// It has heard of no holder since it began.
    Blank,
}

#[derive(Clone, Copy, Debug)]
struct Spared {
    fault: Fault,
    since: Timestamp,
    how_long: Duration,
}

impl Spared {
    fn now(self, now: Timestamp) -> bool {
        now.since(self.since) < self.how_long
    }
}

/// Who is asked next, and how long the answer may be held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceChoice {
    pub source: SocketAddr,
    pub wait: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    spared: BTreeMap<SocketAddr, Spared>,
    /// When each was last asked, of those that are or were spared.
    asked: BTreeMap<SocketAddr, Timestamp>,
    last: Option<SocketAddr>,
    /// The last one was a neighbour, and in vain.
    in_vain: bool,
}

impl SourceSelector {
    /// From the nearest postmaster that answers and is up to date; where there is none, from a neighbour that
    /// is; else from the postmaster behind that was asked longest ago: one of them may be up to date by now,
    /// and clients hear of this door through it. None where nobody is left: all may be asked again.
    pub fn choose_next(
        &mut self,
        offices: &[SocketAddr],
        beside: &[SocketAddr],
        now: Timestamp,
    ) -> Option<SourceChoice> {
        let known = |source: &SocketAddr| offices.contains(source) || beside.contains(source);
        self.spared.retain(|source, _| known(source));
        self.asked.retain(|source, _| known(source));
        let spared = |source: &SocketAddr| self.spared.get(source).filter(|one| one.now(now));
        let current = |source: &&SocketAddr| spared(source).is_none();
        // A neighbour in vain is followed by a postmaster that answers: the registry must hear of this door.
        let turn = !std::mem::replace(&mut self.in_vain, false);
        let best = offices.iter().find(current).or(beside.iter().find(|source| turn && current(source)));
        let answers = |source: &&SocketAddr| spared(source).is_none_or(|one| one.fault != Fault::Failed);
        let blank = |source: &SocketAddr| spared(source).is_some_and(|one| one.fault == Fault::Blank);
        // At the start none has anything yet, and the nearest is as good as any.
        let start = offices.iter().filter(answers).all(blank);
        let left = || {
            let asked = |source: &&SocketAddr| self.asked.get(*source).filter(|_| !start);
            offices.iter().filter(answers).min_by_key(asked)
        };
        let Some(source) = best.or_else(left).copied() else {
            self.spared.retain(|_, spared| spared.fault != Fault::Failed);
            return None;
        };
        // One that is turned to says at once what it has: nothing is heard of others meanwhile.
        let wait = match best {
            Some(_) if self.last != Some(source) => Duration::ZERO,
            None if !start => SHORT,
            _ => WAIT,
        };
        self.last = Some(source);
        self.asked.insert(source, now);
        Some(SourceChoice { source, wait })
    }

    /// It answered, and was itself up to date then; whether it is of use.
    pub fn record_answer(
        &mut self,
        source: SocketAddr,
        sure: Option<Timestamp>,
        beside: &[SocketAddr],
        now: Timestamp,
    ) -> bool {
        let fault = match sure {
            Some(sure) if now.since(sure) <= BEHIND => {
                self.spared.remove(&source);
                return true;
            }
            Some(_) => Fault::Behind,
            None => Fault::Blank,
        };
        self.spare(source, fault, beside, now);
        false
    }

    pub fn record_failure(&mut self, source: SocketAddr, beside: &[SocketAddr], now: Timestamp) {
        self.last = None;
        self.spare(source, Fault::Failed, beside, now);
    }

    fn spare(&mut self, source: SocketAddr, fault: Fault, beside: &[SocketAddr], now: Timestamp) {
        self.in_vain = beside.contains(&source);
        let before = self.spared.get(&source).filter(|before| before.fault == fault);
        let how_long = match before {
            // Asked for want of a better one: that is no new trial.
            Some(before) if before.now(now) => return,
            Some(before) => (before.how_long * 2).min(MOST_SPARED),
            None => SPARED,
        };
        self.spared.insert(source, Spared { fault, since: now, how_long });
    }
}

#[cfg(test)]
mod tests;
