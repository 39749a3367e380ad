//! Tracks which controllers follow the leaseholder, and which of them have the committed register on disk.
//!
//! State: for each follower, since when it has been in sync and which revision it has to have. It starts empty whenever the
//! lease is acquired, except after a short loss of the lease.

use crate::planner::VoterCandidate;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::{Follower, Revision};

/// A follower that was last seen in sync so long ago is out of sync. Followers pull more often than this.
pub(crate) const SYNC_TIMEOUT: Duration = Duration::from_millis(1200);
/// A follower that was last seen in sync so long ago is forgotten.
const FOLLOWER_RETENTION: Duration = Duration::from_secs(60);
/// A leaseholder that regains the lease within this time continues with what it knew.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

/// What the leaseholder knows of those that follow it.
#[derive(Debug, Default)]
pub struct FollowerTracker {
    /// When the lease was acquired, plus the time for which it was lost for a moment.
    tracking_since: Timestamp,
    /// When the lease was lost, while it is.
    lease_lost_at: Option<Timestamp>,
    followers: BTreeMap<IpAddr, FollowerProgress>,
}

#[derive(Debug)]
struct FollowerProgress {
    zone: String,
    /// When it was last seen in sync.
    last_in_sync: Option<Timestamp>,
    /// Since when it has been in sync without a break.
    in_sync_since: Timestamp,
    /// The revision that it has to have on disk, and since when.
    required_revision: Revision,
    required_since: Timestamp,
}

/// The controller that holds the lease, among the candidates.
#[derive(Clone, Copy, Debug)]
pub struct LocalMember<'a> {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'a str,
}

impl FollowerTracker {
    /// The lease is acquired. If it was lost for a moment only, tracking continues as if that time, in which nobody followed,
    /// had not passed: a voter that had failed before is not waited for once more.
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

    /// The lease is lost.
    pub fn lease_lost(&mut self, now: Timestamp) {
        self.lease_lost_at = Some(now);
    }

    /// A follower pulls, and reports what it has on disk; `committed` is the revision that it should have soon.
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

    /// All that may be voters: the current ones, whether they follow or not, the leaseholder itself, and its followers. Nobody
    /// counts as out of sync for longer than the lease has been held. `address` is where the controller of a machine is
    /// reached.
    pub fn candidates(
        &self,
        voters: &[SocketAddr],
        local: LocalMember<'_>,
        address: impl Fn(IpAddr) -> SocketAddr,
        now: Timestamp,
    ) -> Vec<VoterCandidate> {
        let tracked_for = now.since(self.tracking_since);
        // One that was never in sync is out of sync, however short the lease has been held.
        let never_in_sync = tracked_for.max(SYNC_TIMEOUT);
        let followers = self.followers.iter().map(|(ip, progress)| {
            let out_of_sync_for = match progress.last_in_sync {
                Some(seen) => now.since(seen.max(self.tracking_since)),
                None => never_in_sync,
            };
            progress.candidate(address(*ip), out_of_sync_for, now)
        });
        let mut candidates: Vec<_> = followers.filter(|one| one.address != local.address).collect();
        candidates.push(VoterCandidate {
            address: local.address,
            zone: local.zone.to_owned(),
            out_of_sync_for: Duration::ZERO,
            in_sync_for: tracked_for,
        });
        for &voter in voters {
            if !candidates.iter().any(|one| one.address == voter) {
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
    /// Records what the follower has on disk; nothing if it has amnesia.
    fn update(&mut self, on_disk: Option<Revision>, committed: Revision, now: Timestamp) {
        let has_required = on_disk.is_some_and(|revision| revision >= self.required_revision);
        // A follower that had everything before may not have received yet what was committed a moment ago.
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

    /// When it was last in sync, or since when it has been awaited.
    fn last_progress(&self) -> Timestamp {
        self.last_in_sync.unwrap_or(self.required_since)
    }
}

#[cfg(test)]
mod tests;
