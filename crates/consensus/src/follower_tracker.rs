//! Tracks which controllers follow the leaseholder, and which of them have the committed register on disk.
//!
//! For each follower, the tracker records since when it has been in sync and which revision it has to have on disk. It
//! starts empty whenever the lease is acquired, except after a short loss of the lease.

use crate::planner::VoterCandidate;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Follower, Revision};

/// How long after it was last seen in sync a follower counts as out of sync. Followers pull more often than this.
pub(crate) const SYNC_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long after it was last seen in sync a follower is removed from the tracker.
const FOLLOWER_RETENTION: Duration = Duration::from_secs(60);
/// How soon a controller has to regain the lease to continue with the tracked progress of its followers.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

/// The progress of the followers, as the leaseholder knows it.
#[derive(Debug, Default)]
pub struct FollowerTracker {
    /// When the lease was acquired, plus the durations of short losses of the lease since then.
    tracking_since: Timestamp,
    /// When the lease was lost; `None` while it is held.
    lease_lost_at: Option<Timestamp>,
    followers: BTreeMap<IpAddr, FollowerProgress>,
}

#[derive(Debug)]
struct FollowerProgress {
    zone: String,
    /// When the follower was last seen in sync; `None` if it never was.
    last_in_sync: Option<Timestamp>,
    /// Since when the follower has been in sync without interruption.
    in_sync_since: Timestamp,
    /// The revision that the follower has to have on disk, required since `required_since`.
    required_revision: Revision,
    required_since: Timestamp,
}

/// The controller that holds the lease; it is one of the candidates.
#[derive(Clone, Copy, Debug)]
pub struct LocalMember<'a> {
    /// The address at which other controllers reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'a str,
}

impl FollowerTracker {
    /// Starts tracking when the lease is acquired. If the lease was lost only shortly, tracking continues as if that
    /// time, in which no controller followed, had not passed: the failure timeout of a failed voter does not start
    /// anew.
    pub fn lease_acquired(&mut self, now: Timestamp) {
        let gap = self.lease_lost_at.take().map(|lost_at| now.since(lost_at));
        match gap.filter(|gap| *gap < RESUME_WINDOW) {
            Some(gap) => self.skip_gap(gap),
            None => {
                self.tracking_since = now;
                self.followers.clear();
            }
        }
    }

    fn skip_gap(&mut self, gap: Duration) {
        self.tracking_since = self.tracking_since.after(gap);
        for progress in self.followers.values_mut() {
            progress.last_in_sync = progress.last_in_sync.map(|seen| seen.after(gap));
            progress.in_sync_since = progress.in_sync_since.after(gap);
            progress.required_since = progress.required_since.after(gap);
        }
    }

    /// Records that the lease is lost.
    pub fn lease_lost(&mut self, now: Timestamp) {
        self.lease_lost_at = Some(now);
    }

    /// Records a pull by which a follower reports what it has on disk. `committed` is the committed revision, which the
    /// follower should have on disk soon.
    pub fn record_pull(&mut self, follower: &Follower, committed: Revision, now: Timestamp) {
        let entry = self.followers.entry(follower.controller.ip);
        let progress = entry.or_insert_with(|| FollowerProgress {
            zone: follower.controller.zone.clone(),
            last_in_sync: None,
            in_sync_since: now,
            required_revision: committed,
            required_since: now,
        });
        progress.update(follower.persisted.map(|rank| rank.revision), committed, now);
        self.followers.retain(|_, progress| now.since(progress.last_progress()) < FOLLOWER_RETENTION);
    }

    /// Returns all machines that may be voters: the current voters, whether they follow or not, the leaseholder itself,
    /// and its followers. No machine that was ever in sync counts as out of sync for longer than the lease has been
    /// held. `address` returns the address of the controller on the machine with that IP address.
    pub fn candidates(
        &self,
        voters: &[SocketAddr],
        local: LocalMember<'_>,
        address: impl Fn(IpAddr) -> SocketAddr,
        now: Timestamp,
    ) -> Vec<VoterCandidate> {
        let tracked_for = now.since(self.tracking_since);
        // A machine that was never in sync counts as out of sync, however short the lease has been held.
        let never_in_sync = tracked_for.max(SYNC_TIMEOUT);
        let followers = self.followers.iter().map(|(ip, progress)| {
            let out_of_sync_for = match progress.last_in_sync {
                Some(seen) => now.since(seen.max(self.tracking_since)),
                None => never_in_sync,
            };
            progress.candidate(address(*ip), out_of_sync_for, now)
        });
        let mut candidates: Vec<_> =
            followers.filter(|candidate| candidate.address != local.address).collect();
        candidates.push(VoterCandidate {
            address: local.address,
            zone: local.zone.to_owned(),
            out_of_sync_for: Duration::ZERO,
            in_sync_for: tracked_for,
        });
        for &voter in voters {
            if !candidates.iter().any(|candidate| candidate.address == voter) {
                candidates.push(VoterCandidate {
                    address: voter,
                    zone: String::new(),
                    out_of_sync_for: never_in_sync,
                    in_sync_for: Duration::ZERO,
                });
            }
        }
        candidates
    }
}

impl FollowerProgress {
    /// Updates the progress by the revision that the follower has on disk, which is `None` if it has amnesia.
    fn update(&mut self, on_disk: Option<Revision>, committed: Revision, now: Timestamp) {
        let has_required = on_disk.is_some_and(|revision| revision >= self.required_revision);
        // A follower that was in sync before may not have received a register yet that was committed a moment ago.
        let is_catching_up =
            self.last_in_sync.is_some() && on_disk.is_some() && now.since(self.required_since) < SYNC_TIMEOUT;
        if has_required {
            (self.required_revision, self.required_since) = (committed, now);
        }
        if has_required || is_catching_up {
            if self.last_in_sync.is_none_or(|seen| now.since(seen) >= SYNC_TIMEOUT) {
                self.in_sync_since = now;
            }
            self.last_in_sync = Some(now);
        }
    }

    fn candidate(&self, address: SocketAddr, out_of_sync_for: Duration, now: Timestamp) -> VoterCandidate {
        let is_in_sync = out_of_sync_for < SYNC_TIMEOUT;
        let in_sync_for = if is_in_sync { now.since(self.in_sync_since) } else { Duration::ZERO };
        VoterCandidate { address, zone: self.zone.clone(), out_of_sync_for, in_sync_for }
    }

    /// Returns when the follower was last in sync, or, if it never was, since when its required revision has been due.
    fn last_progress(&self) -> Timestamp {
        self.last_in_sync.unwrap_or(self.required_since)
    }
}

#[cfg(test)]
mod tests;
