//! A partial view of the other doors: a few of them, told on and shuffled between neighbours, so that no door knows or
//! counts all. A door that no postmaster reaches hears through one of these.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::PeerEntry;

/// How many doors a view holds, and how many of them may be of other regions.
const MOST: usize = 8;
const ELSEWHERE: usize = 3;
/// How many are told in one shuffle, beside the door itself.
const TOLD: usize = 4;
/// A door that nobody has heard of for so long is gone.
const GONE: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Known {
    region: String,
    heard: Timestamp,
}

#[derive(Clone, Debug)]
pub struct PeerView {
    me: IpAddr,
    region: String,
    known: BTreeMap<IpAddr, Known>,
}

impl PeerView {
    pub fn new(me: IpAddr, region: &str) -> PeerView {
        PeerView { me, region: region.to_owned(), known: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// What others told: the newest account of each door counts. Where there are too many, one that chance picks goes: were
    /// it the one longest unheard, doors would know the same few, and fall apart.
    pub fn merge(&mut self, told: &[PeerEntry], now: Timestamp) {
        for neighbour in told.iter().filter(|neighbour| neighbour.ip != self.me) {
            let heard = now.before(Duration::from_millis(neighbour.last_contact_ms));
            let region = neighbour.region.clone();
            let known = self.known.entry(neighbour.ip).or_insert_with(|| Known { region, heard });
            known.heard = known.heard.max(heard);
        }
        self.known.retain(|_, known| now.since(known.heard) < GONE);
        let elsewhere = |view: &PeerView, known: &Known| known.region != view.region;
        while self.known.values().filter(|known| elsewhere(self, known)).count() > ELSEWHERE {
            self.drop_one(now, |view, known| elsewhere(view, known));
        }
        while self.known.len() > MOST {
            self.drop_one(now, |_, _| true);
        }
    }

    fn drop_one(&mut self, now: Timestamp, of: impl Fn(&PeerView, &Known) -> bool) {
        let lot = |ip: &IpAddr| {
            let mut hasher = DefaultHasher::new();
            (self.me, ip, now.0).hash(&mut hasher);
            hasher.finish()
        };
        let among = self.known.iter().filter(|(_, known)| of(self, known));
        let picked = among.min_by_key(|(ip, _)| lot(ip)).map(|(ip, _)| *ip);
        picked.into_iter().for_each(|ip| drop(self.known.remove(&ip)));
    }

    /// One that did not answer.
    pub fn remove(&mut self, ip: IpAddr) {
        self.known.remove(&ip);
    }

    /// Some of the view, from one drawn on, and this door itself: what is told in a shuffle.
    pub fn sample(&self, draw: usize, now: Timestamp) -> Vec<PeerEntry> {
        let me = PeerEntry { ip: self.me, region: self.region.clone(), last_contact_ms: 0 };
        let some =
            self.known.iter().cycle().skip(draw % self.known.len().max(1)).take(TOLD.min(self.known.len()));
        let some = some.map(|(ip, known)| PeerEntry {
            ip: *ip,
            region: known.region.clone(),
            last_contact_ms: now.since(known.heard).as_millis() as u64,
        });
        some.chain(std::iter::once(me)).collect()
    }

    /// The doors to turn to, from one drawn on: those of this door's region first.
    pub fn contact_order(&self, draw: usize) -> Vec<IpAddr> {
        let mut all: Vec<_> = self.known.iter().collect();
        let turn = draw % all.len().max(1);
        all.rotate_left(turn);
        all.sort_by_key(|(_, known)| known.region != self.region);
        all.into_iter().map(|(ip, _)| *ip).collect()
    }
}

#[cfg(test)]
mod tests;
