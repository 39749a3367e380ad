//! Selection of the source from which a proxy pulls control-plane updates: a controller or, if no controller is up to
//! date, a peer.
//!
//! A source that is cut off from the others keeps answering with what it has. Each answer therefore states when its
//! content was last attested to be the newest, and the proxy switches away from a source whose attestation is too old,
//! however new the proxy's own copy is.
//!
//! Sources that fail or lag are avoided for a backoff that doubles with each repetition, since the proxy receives
//! nothing while it tries one of them. Probes, which carry no update, run alongside the pulls for two purposes: a
//! failed source is used again only after a probe has found it up to date, and while a pull is overdue the next
//! sources are probed, so that those that would not answer either are already being avoided when the pull fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;

/// How long a source may hold back the answer to a pull until it has an update.
const PULL_WAIT: Duration = Duration::from_millis(300);

/// How long a lagging source may hold back the answer to a pull, if no better source is left. An update from it is
/// unlikely, and the other lagging sources have to be tried soon.
const LAGGING_PULL_WAIT: Duration = Duration::from_millis(100);

/// A source whose attestation is older than this is lagging. When the lease passes to another leaseholder, all sources
/// lag for about this long.
const MAX_ATTESTATION_AGE: Duration = Duration::from_millis(2000);

/// Duration of the first backoff of a source.
const INITIAL_BACKOFF: Duration = Duration::from_secs(3);

/// Maximum duration of a backoff, which doubles each time that the source shows the same fault again.
const MAX_BACKOFF: Duration = Duration::from_secs(12);

/// Why a source is avoided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// It did not answer.
    Failed,
    /// Its attestation is too old.
    Lagging,
    /// It has not been in contact with a leaseholder since it started.
    NeverAttested,
}

/// A period in which a source is avoided.
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

/// The source of the next pull, and how long it may hold back its answer until it has an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceChoice {
    /// Address to pull from.
    pub source: SocketAddr,
    /// How long the source may hold back the answer; with zero, it answers immediately with what it has.
    pub wait: Duration,
}

/// Whether the answer to the pull in progress is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullProgress {
    /// The answer is not due yet.
    OnTime,
    /// The answer should have arrived.
    Overdue,
}

/// Chooses sources by the results of earlier pulls and probes.
///
/// The caller pulls from the source that [`choose_next`](Self::choose_next) returns and then calls
/// [`record_answer`](Self::record_answer) or [`record_failure`](Self::record_failure).
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    /// Current and expired backoffs; the duration of the next backoff depends on the previous one.
    backoffs: BTreeMap<SocketAddr, Backoff>,
    /// When each source was last pulled from.
    last_pulls: BTreeMap<SocketAddr, Timestamp>,
    /// The source of the last pull, if that did not fail.
    last_source: Option<SocketAddr>,
    /// Whether the last pull went to a peer that failed or lagged.
    last_peer_was_unusable: bool,
}

impl SourceSelector {
    /// Chooses the source of the next pull. Returns `None` if every source has recently failed; all of them may then be
    /// tried again.
    ///
    /// `controllers` are ordered by distance, nearest first. `probed` is a source whose probe is in progress;
    /// steps 1 and 2 skip it, so that it is not waited for twice. The order of preference is:
    ///
    /// 1. the first controller that has not failed or lagged, then the first such peer;
    /// 2. the first controller whose backoff has expired, then the first such peer;
    /// 3. of the controllers that answer, the one whose last pull is the longest ago: it may be up to date by now, and it
    ///    tells the registry about this proxy.
    ///
    /// A source that has failed is thus used again only after a probe has found it up to date, as long as there is
    /// another.
    pub fn choose_next(
        &mut self,
        controllers: &[SocketAddr],
        peers: &[SocketAddr],
        probed: Option<SocketAddr>,
        now: Timestamp,
    ) -> Option<SourceChoice> {
        self.forget_unlisted(controllers, peers);
        // After an unusable peer, a controller that answers is tried, so that the registry does not lose this proxy.
        let try_peers = !std::mem::take(&mut self.last_peer_was_unusable);
        let backoff = |source: &SocketAddr| self.active_backoff(source, now);
        let has_not_failed =
            |source: &&SocketAddr| !self.backoffs.contains_key(source) && probed != Some(**source);
        let is_usable = |source: &&SocketAddr| backoff(source).is_none() && probed != Some(**source);
        let eligible_peers = || peers.iter().filter(|_| try_peers);
        let preferred = controllers
            .iter()
            .find(has_not_failed)
            .or_else(|| eligible_peers().find(has_not_failed))
            .or_else(|| controllers.iter().find(is_usable))
            .or_else(|| eligible_peers().find(is_usable));

        let answers =
            |source: &&SocketAddr| backoff(source).is_none_or(|backoff| backoff.fault != Fault::Failed);
        let never_attested = |source: &SocketAddr| {
            backoff(source).is_some_and(|backoff| backoff.fault == Fault::NeverAttested)
        };
        // While the system starts, no controller has any state yet, and the nearest one is as good as any other.
        let is_system_start = controllers.iter().filter(answers).all(never_attested);
        let fallback = || {
            let last_pull = |source: &&SocketAddr| self.last_pulls.get(*source).filter(|_| !is_system_start);
            controllers.iter().filter(answers).min_by_key(last_pull)
        };
        let Some(source) = preferred.or_else(fallback).copied() else {
            self.backoffs.retain(|_, backoff| backoff.fault != Fault::Failed);
            return None;
        };
        // A newly selected source answers immediately: while it waited, no update would arrive from any other source.
        let wait = match preferred {
            Some(_) if self.last_source != Some(source) => Duration::ZERO,
            None if !is_system_start => LAGGING_PULL_WAIT,
            _ => PULL_WAIT,
        };
        self.last_source = Some(source);
        self.last_pulls.insert(source, now);
        Some(SourceChoice { source, wait })
    }

    /// Chooses the source to probe during a pull from `pulled_from`, if any. Before the pull is overdue, this is the
    /// first source ahead of `pulled_from` that had failed and whose backoff has expired; it is used again if it is
    /// up to date. While the pull is overdue, it is the first other source that is not avoided.
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
            PullProgress::OnTime => sources
                .take_while(|source| *source != pulled_from)
                .find(|source| self.backoffs.contains_key(source) && is_usable(source)),
        }
    }

    /// Records the result of a probe and returns whether the source is up to date; if it is not, it is avoided from
    /// now on. `answer` is `None` if the source did not answer, otherwise the time at which its copy was last
    /// attested to be the newest, if it ever was.
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

    /// Drops the state of sources that are no longer listed.
    fn forget_unlisted(&mut self, controllers: &[SocketAddr], peers: &[SocketAddr]) {
        let is_known = |source: &SocketAddr| controllers.contains(source) || peers.contains(source);
        self.backoffs.retain(|source, _| is_known(source));
        self.last_pulls.retain(|source, _| is_known(source));
    }

    /// Records an answer to a pull and returns whether the source is up to date; if it is not, it is avoided from now
    /// on. `attested_at` is the time at which the source's copy was last attested to be the newest, if it ever was.
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
        self.last_peer_was_unusable = peers.contains(&source);
        self.back_off(source, fault, now);
        false
    }

    /// Records that a source did not answer a pull.
    pub fn record_failure(&mut self, source: SocketAddr, peers: &[SocketAddr], now: Timestamp) {
        self.last_source = None;
        self.last_peer_was_unusable = peers.contains(&source);
        self.back_off(source, Fault::Failed, now);
    }

    /// Starts a backoff of a source: twice as long as the previous one if that was for the same fault.
    fn back_off(&mut self, source: SocketAddr, fault: Fault, now: Timestamp) {
        let previous = self.backoffs.get(&source).filter(|previous| previous.fault == fault);
        let duration = match previous {
            // The source was used because no better one was left; the attempt tells nothing new about it.
            Some(previous) if previous.is_active(now) => return,
            Some(previous) => (previous.duration * 2).min(MAX_BACKOFF),
            None => INITIAL_BACKOFF,
        };
        self.backoffs.insert(source, Backoff { fault, since: now, duration });
    }
}

/// Judges a source by the time at which its copy was last attested to be the newest; returns `None` if it is up to
/// date.
fn fault_of(attested_at: Option<Timestamp>, now: Timestamp) -> Option<Fault> {
    match attested_at {
        Some(attested_at) if now.since(attested_at) <= MAX_ATTESTATION_AGE => None,
        Some(_) => Some(Fault::Lagging),
        None => Some(Fault::NeverAttested),
    }
}

#[cfg(test)]
mod tests;
