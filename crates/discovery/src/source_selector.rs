//! Choice of the source from which a proxy pulls control-plane updates: a controller or, where no controller is up to
//! date, a peer.
//!
//! A source that is cut off from the others goes on answering with what it has. So each answer says when all that it
//! contains was attested to be the newest, and a source whose own attestation is too old is left for another one, however
//! new the proxy's own copy is. Sources that fail or lag are avoided for a time that doubles, the backoff: each attempt
//! at one of them is time in which the proxy receives nothing. Probes, which
//! bring no update, go on alongside the pulls: a source that has failed is turned to again once a probe has found it up to
//! date; and while a pull is overdue the next sources are probed, so that those which would not answer either are avoided by
//! the time that it fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// How long a pull waits at the source for an update.
const PULL_WAIT: Duration = Duration::from_millis(300);

/// How long a pull waits at a lagging source, where no better one is left: an update from it is unlikely, and the other
/// lagging ones are to be tried soon.
const LAGGING_PULL_WAIT: Duration = Duration::from_millis(100);

/// A source whose attestation is older than this is left for another one. A lease that passes from one leaseholder to
/// the next leaves all of them behind for about as long.
const MAX_ATTESTATION_AGE: Duration = Duration::from_millis(2000);

/// For how long a source is avoided at first, and at most.
const INITIAL_BACKOFF: Duration = Duration::from_secs(3);
const MAX_BACKOFF: Duration = Duration::from_secs(12);

/// Why a source is avoided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// It did not answer.
    Failed,
    /// Its attestation is too old.
    Lagging,
    /// It has had no contact with a leaseholder since it started.
    NeverAttested,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    fault: Fault,
    since: Timestamp,
    duration: Duration,
}

impl Backoff {
    fn is_active(self, now: Timestamp) -> bool {
        now.since(self.since) < self.duration
    }
}

/// The source of the next pull, and how long it may hold its answer back for an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceChoice {
    /// Address to pull from.
    pub source: SocketAddr,
    /// How long the source may hold the answer back; zero: it answers at once with what it has.
    pub wait: Duration,
}

/// How a pull that is under way is going.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullProgress {
    /// Its answer is not due yet.
    Ordinary,
    /// Its answer should have come.
    Overdue,
}

/// Chooses sources by the answers that earlier pulls had.
///
/// The caller pulls from the source that [`choose_next`](Self::choose_next) gives, and then calls
/// [`record_answer`](Self::record_answer) or [`record_failure`](Self::record_failure).
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    /// Sources that are avoided, or were before: the next backoff depends on the one before.
    backoffs: BTreeMap<SocketAddr, Backoff>,
    /// When each source was last pulled from.
    last_pulls: BTreeMap<SocketAddr, Timestamp>,
    /// Where the last pull went; none where it failed.
    last_source: Option<SocketAddr>,
    /// Whether the last pull went to a peer that failed or lagged.
    peer_was_useless: bool,
}

impl SourceSelector {
    /// The source of the next pull; none where each has failed lately (all may then be tried again). `probed` is a source
    /// whose probe is under way: it is not waited for twice.
    ///
    /// It is the first controller (`controllers` come nearest first) that has not failed or lagged; else the first such
    /// peer; else, in the same order, the first one that is not avoided any more; else, of the controllers that answer, the
    /// one that was pulled from longest ago: one of them may be up to date by now, and clients are told of this proxy through
    /// it. So a source that has failed is turned to again only after a probe has found it up to date, as long as there is
    /// another one.
    pub fn choose_next(
        &mut self,
        controllers: &[SocketAddr],
        peers: &[SocketAddr],
        probed: Option<SocketAddr>,
        now: Timestamp,
    ) -> Option<SourceChoice> {
        self.forget_all_but(controllers, peers);
        // After a useless peer comes a controller that answers, if one is left: the registry must not lose this proxy.
        let try_peers = !std::mem::take(&mut self.peer_was_useless);
        let backoff = |source: &SocketAddr| self.active_backoff(source, now);
        let has_not_failed =
            |source: &&SocketAddr| !self.backoffs.contains_key(source) && probed != Some(**source);
        let is_usable = |source: &&SocketAddr| backoff(source).is_none() && probed != Some(**source);
        let tried_peers = || peers.iter().filter(|_| try_peers);
        let preferred = controllers
            .iter()
            .find(has_not_failed)
            .or_else(|| tried_peers().find(has_not_failed))
            .or_else(|| controllers.iter().find(is_usable))
            .or_else(|| tried_peers().find(is_usable));

        let answers =
            |source: &&SocketAddr| backoff(source).is_none_or(|backoff| backoff.fault != Fault::Failed);
        let never_attested = |source: &SocketAddr| {
            backoff(source).is_some_and(|backoff| backoff.fault == Fault::NeverAttested)
        };
        // While the system starts no controller has anything yet, and the nearest is as good as any.
        let system_starts = controllers.iter().filter(answers).all(never_attested);
        let fallback = || {
            let last_pull = |source: &&SocketAddr| self.last_pulls.get(*source).filter(|_| !system_starts);
            controllers.iter().filter(answers).min_by_key(last_pull)
        };
        let Some(source) = preferred.or_else(fallback).copied() else {
            self.backoffs.retain(|_, backoff| backoff.fault != Fault::Failed);
            return None;
        };
        // A source that is newly turned to answers at once: while it waited, nothing would come from any other.
        let wait = match preferred {
            Some(_) if self.last_source != Some(source) => Duration::ZERO,
            None if !system_starts => LAGGING_PULL_WAIT,
            _ => PULL_WAIT,
        };
        self.last_source = Some(source);
        self.last_pulls.insert(source, now);
        Some(SourceChoice { source, wait })
    }

    /// The source to probe during a pull from `pulled_from`. In an ordinary one, that is the first source before it that had
    /// failed and is not avoided any more: it is turned to again if it is up to date. While the pull is overdue, it is the
    /// first other one that is not avoided.
    pub fn choose_probe(
        &self,
        controllers: &[SocketAddr],
        peers: &[SocketAddr],
        pulled_from: SocketAddr,
        progress: PullProgress,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let mut sources = controllers.iter().chain(peers).copied();
        let is_usable = |source: &SocketAddr| self.active_backoff(source, now).is_none();
        match progress {
            PullProgress::Overdue => sources.find(|source| *source != pulled_from && is_usable(source)),
            PullProgress::Ordinary => sources
                .take_while(|source| *source != pulled_from)
                .find(|source| self.backoffs.contains_key(source) && is_usable(source)),
        }
    }

    /// Records what a probe found: by when the source's copy was attested to be the newest, or the outer `None` where it
    /// did not answer. Returns whether the source is up to date; one that is not is avoided from now on.
    pub fn record_probe(
        &mut self,
        source: SocketAddr,
        answer: Option<Option<Timestamp>>,
        now: Timestamp,
    ) -> bool {
        let fault = answer.map_or(Some(Fault::Failed), |attested_at| fault_of(attested_at, now));
        match fault {
            Some(fault) => self.back_off(source, fault, now),
            None => drop(self.backoffs.remove(&source)),
        }
        fault.is_none()
    }

    fn active_backoff(&self, source: &SocketAddr, now: Timestamp) -> Option<&Backoff> {
        self.backoffs.get(source).filter(|backoff| backoff.is_active(now))
    }

    /// Drops what is known of sources that are not there any more.
    fn forget_all_but(&mut self, controllers: &[SocketAddr], peers: &[SocketAddr]) {
        let is_known = |source: &SocketAddr| controllers.contains(source) || peers.contains(source);
        self.backoffs.retain(|source, _| is_known(source));
        self.last_pulls.retain(|source, _| is_known(source));
    }

    /// Records an answer, by when the source's copy was attested to be the newest (none: never). Returns whether the
    /// source is up to date; one that is not is avoided from now on.
    pub fn record_answer(
        &mut self,
        source: SocketAddr,
        attested_at: Option<Timestamp>,
        peers: &[SocketAddr],
        now: Timestamp,
    ) -> bool {
        let Some(fault) = fault_of(attested_at, now) else {
            self.backoffs.remove(&source);
            return true;
        };
        self.peer_was_useless = peers.contains(&source);
        self.back_off(source, fault, now);
        false
    }

    /// Records that a source did not answer.
    pub fn record_failure(&mut self, source: SocketAddr, peers: &[SocketAddr], now: Timestamp) {
        self.last_source = None;
        self.peer_was_useless = peers.contains(&source);
        self.back_off(source, Fault::Failed, now);
    }

    /// Avoids a source: twice as long as before, where it shows the same fault again.
    fn back_off(&mut self, source: SocketAddr, fault: Fault, now: Timestamp) {
        let previous = self.backoffs.get(&source).filter(|previous| previous.fault == fault);
        let duration = match previous {
            // Pulled from for want of a better one: the attempt says nothing new.
            Some(previous) if previous.is_active(now) => return,
            Some(previous) => (previous.duration * 2).min(MAX_BACKOFF),
            None => INITIAL_BACKOFF,
        };
        self.backoffs.insert(source, Backoff { fault, since: now, duration });
    }
}

/// What is wrong with a source by when its copy was attested to be the newest (none: never).
fn fault_of(attested_at: Option<Timestamp>, now: Timestamp) -> Option<Fault> {
    match attested_at {
        Some(attested_at) if now.since(attested_at) <= MAX_ATTESTATION_AGE => None,
        Some(_) => Some(Fault::Lagging),
        None => Some(Fault::NeverAttested),
    }
}

#[cfg(test)]
mod tests;
