//! A partial view of the other proxies: a few peers, exchanged and shuffled between them, so that no proxy has to know
//! or count all. A proxy that reaches no controller receives updates through one of these peers.
//!
//! Invariants after each merge: at most `MAX_PEERS` peers, of them at most `MAX_REMOTE_PEERS` of other regions, none
//! that nobody has been in contact with for `PEER_EXPIRY`, and never the proxy itself.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::PeerEntry;

/// Peers in a view. With 8, the views of 400 proxies stay connected, and those of 92 of which 30 die (see the tests).
const MAX_PEERS: usize = 8;

/// Peers of other regions in a view: enough to connect the regions, few enough that most contacts stay within one.
const MAX_REMOTE_PEERS: usize = 3;

/// Peers sent in one shuffle, besides the sender itself.
const SHUFFLE_SAMPLE: usize = 4;

/// A peer that nobody has been in contact with for this long is dropped: many shuffles of about 2 s each.
const PEER_EXPIRY: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Peer {
    region: String,
    last_contact: Timestamp,
}

/// The peers that one proxy knows.
#[derive(Clone, Debug)]
pub struct PeerView {
    own_ip: IpAddr,
    own_region: String,
    peers: BTreeMap<IpAddr, Peer>,
}

impl PeerView {
    /// The view of a proxy that knows no peer yet.
    pub fn new(own_ip: IpAddr, own_region: &str) -> PeerView {
        PeerView { own_ip, own_region: own_region.to_owned(), peers: BTreeMap::new() }
    }

    /// Number of peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Takes in what another proxy knows. For each peer the latest contact counts.
    ///
    /// Where there are too many peers, a random one goes. If it were the one with the oldest contact, proxies would all
    /// come to know the same few, and the network of views would fall apart.
    pub fn merge(&mut self, received: &[PeerEntry], now: Timestamp) {
        for entry in received.iter().filter(|entry| entry.ip != self.own_ip) {
            let last_contact = now.before(Duration::from_millis(entry.last_contact_ms));
            let region = entry.region.clone();
            let peer = self.peers.entry(entry.ip).or_insert_with(|| Peer { region, last_contact });
            peer.last_contact = peer.last_contact.max(last_contact);
        }
        self.peers.retain(|_, peer| now.since(peer.last_contact) < PEER_EXPIRY);
        while self.peers.values().filter(|peer| self.is_remote(peer)).count() > MAX_REMOTE_PEERS {
            self.drop_random(now, |view, peer| view.is_remote(peer));
        }
        while self.peers.len() > MAX_PEERS {
            self.drop_random(now, |_, _| true);
        }
    }

    fn is_remote(&self, peer: &Peer) -> bool {
        peer.region != self.own_region
    }

    /// Drops one of the eligible peers by a hash, which each proxy computes differently at each instant.
    fn drop_random(&mut self, now: Timestamp, is_eligible: impl Fn(&PeerView, &Peer) -> bool) {
        let draw = |ip: &IpAddr| {
            let mut hasher = DefaultHasher::new();
            (self.own_ip, ip, now.0).hash(&mut hasher);
            hasher.finish()
        };
        let eligible = self.peers.iter().filter(|(_, peer)| is_eligible(self, peer));
        let dropped = eligible.min_by_key(|(ip, _)| draw(ip)).map(|(ip, _)| *ip);
        if let Some(ip) = dropped {
            self.peers.remove(&ip);
        }
    }

    /// Removes a peer that did not answer.
    pub fn remove(&mut self, ip: IpAddr) {
        self.peers.remove(&ip);
    }

    /// What is sent in a shuffle: some of the peers, from a random offset on, and this proxy itself.
    pub fn sample(&self, offset: usize, now: Timestamp) -> Vec<PeerEntry> {
        let own_entry = PeerEntry { ip: self.own_ip, region: self.own_region.clone(), last_contact_ms: 0 };
        let first = offset % self.peers.len().max(1);
        let count = SHUFFLE_SAMPLE.min(self.peers.len());
        let sampled = self.peers.iter().cycle().skip(first).take(count);
        let sampled = sampled.map(|(ip, peer)| PeerEntry {
            ip: *ip,
            region: peer.region.clone(),
            last_contact_ms: now.since(peer.last_contact).as_millis() as u64,
        });
        sampled.chain(std::iter::once(own_entry)).collect()
    }

    /// All peers in the order in which to contact them: those of this proxy's region first, from a random offset on.
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
