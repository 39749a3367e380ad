//! Gossip membership: each proxy keeps a partial view of a few peers and exchanges samples of it with them, so that no
//! proxy has to know or count all others. A proxy that cannot reach any controller receives updates through one of its
//! peers.
//!
//! After each merge, a view holds at most `MAX_PEERS` peers, at most `MAX_REMOTE_PEERS` of them from other regions. It
//! holds no peer whose last known contact is older than `PEER_EXPIRY`, and never the proxy itself.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::PeerEntry;

/// Maximum number of peers in a view. With 8, the views of 400 proxies stay connected, and so do those of 92 proxies
/// after 30 of them fail (see the tests).
const MAX_PEERS: usize = 8;

/// Maximum number of peers from other regions in a view: enough to connect the regions, few enough that most contacts
/// stay within one region.
const MAX_REMOTE_PEERS: usize = 3;

/// Number of peers sent in one shuffle, in addition to the sender itself.
const SHUFFLE_SAMPLE_SIZE: usize = 4;

/// A peer is dropped when its last known contact with any proxy is this old. Shuffles take place about every 2 s, so a
/// live peer is contacted many times within this period.
const PEER_EXPIRY: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Peer {
    region: String,
    last_contact: Timestamp,
}

/// The peers that one proxy knows, with the time of the last known contact of each.
#[derive(Clone, Debug)]
pub struct PeerView {
    own_ip: IpAddr,
    own_region: String,
    peers: BTreeMap<IpAddr, Peer>,
}

impl PeerView {
    /// Creates the view of a proxy that knows no peers yet.
    pub fn new(own_ip: IpAddr, own_region: &str) -> PeerView {
        PeerView { own_ip, own_region: own_region.to_owned(), peers: BTreeMap::new() }
    }

    /// Returns the number of known peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Merges entries received from another proxy, keeping the latest contact time of each peer.
    ///
    /// Random peers are evicted while the view is over its limits. If the peer with the oldest contact were evicted
    /// instead, all proxies would converge on the same few peers, and the network would become partitioned.
    pub fn merge(&mut self, received: &[PeerEntry], now: Timestamp) {
        for entry in received.iter().filter(|entry| entry.ip != self.own_ip) {
            let last_contact = now.before(Duration::from_millis(entry.last_contact_ms));
            let region = entry.region.clone();
            let peer = self.peers.entry(entry.ip).or_insert_with(|| Peer { region, last_contact });
            peer.last_contact = peer.last_contact.max(last_contact);
        }
        self.peers.retain(|_, peer| now.since(peer.last_contact) < PEER_EXPIRY);
        while self.peers.values().filter(|peer| self.is_remote(peer)).count() > MAX_REMOTE_PEERS {
            self.evict_random(now, |view, peer| view.is_remote(peer));
        }
        while self.peers.len() > MAX_PEERS {
            self.evict_random(now, |_, _| true);
        }
    }

    fn is_remote(&self, peer: &Peer) -> bool {
        peer.region != self.own_region
    }

    /// Evicts one eligible peer, chosen by a hash of this proxy's address, the peer's address and the time, so that
    /// each proxy chooses differently each time.
    fn evict_random(&mut self, now: Timestamp, is_eligible: impl Fn(&PeerView, &Peer) -> bool) {
        let hash = |ip: &IpAddr| {
            let mut hasher = DefaultHasher::new();
            (self.own_ip, ip, now.0).hash(&mut hasher);
            hasher.finish()
        };
        let eligible = self.peers.iter().filter(|(_, peer)| is_eligible(self, peer));
        let evicted = eligible.min_by_key(|(ip, _)| hash(ip)).map(|(ip, _)| *ip);
        if let Some(ip) = evicted {
            self.peers.remove(&ip);
        }
    }

    /// Removes a peer that did not answer.
    pub fn remove(&mut self, ip: IpAddr) {
        self.peers.remove(&ip);
    }

    /// Returns the entries to send in a shuffle: some of the peers, starting at a random `offset`, and this proxy
    /// itself.
    pub fn sample(&self, offset: usize, now: Timestamp) -> Vec<PeerEntry> {
        let own_entry = PeerEntry { ip: self.own_ip, region: self.own_region.clone(), last_contact_ms: 0 };
        let first = offset % self.peers.len().max(1);
        let count = SHUFFLE_SAMPLE_SIZE.min(self.peers.len());
        let sampled = self.peers.iter().cycle().skip(first).take(count);
        let sampled = sampled.map(|(ip, peer)| PeerEntry {
            ip: *ip,
            region: peer.region.clone(),
            last_contact_ms: now.since(peer.last_contact).as_millis() as u64,
        });
        sampled.chain(std::iter::once(own_entry)).collect()
    }

    /// Returns all peers in the order in which to contact them: rotated by a random `offset`, with the peers in this
    /// proxy's region first.
    pub fn contact_order(&self, offset: usize) -> Vec<IpAddr> {
        let mut ordered: Vec<_> = self.peers.iter().collect();
        let first = offset % ordered.len().max(1);
        ordered.rotate_left(first);
        ordered.sort_by_key(|(_, peer)| self.is_remote(peer));
        ordered.into_iter().map(|(ip, _)| *ip).collect()
    }
}

#[cfg(test)]
mod tests;
