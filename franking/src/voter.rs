//! One voter of the set that grants the lease and keeps the operator's word.
//!
//! It swears ballots and keeps words as in a register that one holder at a time writes: what a majority kept under one
//! ballot is found by whoever gets a majority's grants under a later one, and written again before anything new. An
//! oath may be said only when what it swears to is on disk, so each call gives the oath together with what to save
//! first; the owner does one after the other.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use vanewharf_mailroom::clock::At;
use vanewharf_mailroom::words::{Ballot, Oath, Plea, Word};

/// How long a granted lease lasts at its voter.
pub const TERM: Duration = Duration::from_millis(1500);
/// By how much sooner its holder stops than any voter of its majority forgets it.
pub const MARGIN: Duration = Duration::from_millis(250);
/// How often it is renewed.
pub const RENEWED: Duration = Duration::from_millis(400);

/// What a voter has on disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sworn {
    pub ballot: Ballot,
    /// Whom the ballot was sworn to.
    pub holder: Option<SocketAddr>,
    /// The set that this voter belongs to, or knows.
    pub voters: Vec<SocketAddr>,
    /// By how many doors quotas were last divided, as far as it knows: after all processes were killed nobody else
    /// can say, and the doors that come by first are not all.
    #[serde(default)]
    pub doors: u32,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ballot: Ballot,
    holder: SocketAddr,
    until: At,
}

pub struct Voter {
    sworn: Ballot,
    /// Whom that was sworn to.
    to: Option<SocketAddr>,
    doors: u32,
    word: Word,
    lease: Option<Lease>,
    /// Grants given before this start may last until then.
    quiet_until: At,
    /// It has forgotten what it swore.
    forgetful: bool,
}

/// What is to be on disk before the oath is said.
#[derive(Clone, Debug)]
pub enum Save {
    Sworn(Sworn),
    Word(Box<Word>),
}

pub struct Step {
    pub oath: Oath,
    pub save: Option<Save>,
}

impl Step {
    fn say(oath: Oath) -> Step {
        Step { oath, save: None }
    }
}

impl Voter {
    /// With what was found on disk; `first` where this is the first start of all, so that nothing was ever granted.
    pub fn start(sworn: Option<&Sworn>, word: Option<Word>, first: bool, now: At) -> Voter {
        let forgetful = sworn.is_none() && !first;
        let word = word.unwrap_or_else(Word::none);
        let (to, doors) = sworn.map_or((None, 0), |sworn| (sworn.holder, sworn.doors));
        let sworn = sworn.map(|sworn| sworn.ballot).unwrap_or_default().max(word.ballot);
        let quiet_until = if first { now } else { now.after(TERM) };
        Voter { sworn, to, doors, word, lease: None, quiet_until, forgetful }
    }

    /// What is to be on disk of what it swore.
    pub fn paper(&self) -> Sworn {
        Sworn { ballot: self.sworn, holder: self.to, voters: Vec::new(), doors: self.doors }
    }

    pub fn doors(&self) -> u32 {
        self.doors
    }

    /// Quotas are divided by so many doors now; what to save, where that is news.
    pub fn count(&mut self, doors: u32) -> Option<Save> {
        let news = doors != 0 && doors != self.doors && !self.forgetful;
        self.doors = if news { doors } else { self.doors };
        news.then(|| Save::Sworn(self.paper()))
    }

    pub fn forgetful(&self) -> bool {
        self.forgetful
    }

    pub fn sworn(&self) -> Ballot {
        self.sworn
    }

    pub fn word(&self) -> &Word {
        &self.word
    }

    /// Whose lease this voter goes by.
    pub fn holder(&self, now: At) -> Option<SocketAddr> {
        self.lease.filter(|lease| lease.until > now).map(|lease| lease.holder)
    }

    /// Whether it may try for the lease itself.
    pub fn vacant(&self, now: At) -> bool {
        !self.forgetful && now >= self.quiet_until && self.holder(now).is_none()
    }

    pub fn hear(&mut self, plea: Plea, now: At) -> Step {
        if let Plea::Recall = plea {
            let told = Oath::Told { sworn: self.sworn, word: self.word.clone() };
            return Step::say(if self.forgetful { Oath::Unable } else { told });
        }
        if self.forgetful {
            return Step::say(Oath::Unable);
        }
        let refused = Oath::Refused { sworn: self.sworn, holder: self.holder(now) };
        match plea {
            Plea::Lease { ballot, holder } => {
                let taken = self.lease.is_some_and(|lease| lease.until > now && lease.holder != holder);
                if ballot <= self.sworn || taken || now < self.quiet_until {
                    return Step::say(refused);
                }
                (self.sworn, self.to) = (ballot, Some(holder));
                self.lease = Some(Lease { ballot, holder, until: now.after(TERM) });
                let oath = Oath::Granted { word: self.word.clone(), doors: self.doors };
                Step { oath, save: Some(Save::Sworn(self.paper())) }
            }
            Plea::Renew { ballot, holder } => {
                let taken = self.lease.is_some_and(|lease| lease.until > now && lease.holder != holder);
                if ballot < self.sworn || ballot > self.sworn && (taken || now < self.quiet_until) {
                    return Step::say(refused);
                }
                // Sworn to before a restart, too: nobody else can have been granted it since. One that heard
                // nothing of the lease when it was granted joins its majority.
                let joins = ballot > self.sworn;
                (self.sworn, self.to) = (ballot, Some(holder));
                self.lease = Some(Lease { ballot, holder, until: now.after(TERM) });
                Step { oath: Oath::Kept, save: joins.then(|| Save::Sworn(self.paper())) }
            }
            Plea::Keep { word } => {
                if word.ballot < self.sworn || word.rank() < self.word.rank() {
                    return Step::say(refused);
                }
                // A holder gives a number once, so it is the same word told again.
                if word.rank() == self.word.rank() {
                    return Step::say(Oath::Kept);
                }
                Step { oath: Oath::Kept, save: Some(Save::Word(Box::new(word))) }
            }
            Plea::Release { ballot } => {
                if self.lease.is_some_and(|lease| lease.ballot == ballot) {
                    self.lease = None;
                }
                Step::say(Oath::Kept)
            }
            Plea::Recall => Step::say(refused),
        }
    }

    /// The one it swore to before this start holds nothing any more, by its own word.
    pub fn disowned(&mut self, ballot: Ballot, now: At) {
        if ballot == self.sworn && self.lease.is_none() {
            self.quiet_until = self.quiet_until.min(now);
        }
    }

    /// It is on disk. What could not be saved is never said to be kept.
    pub fn saved(&mut self, save: Save) {
        if let Save::Word(word) = save {
            self.sworn = self.sworn.max(word.ballot);
            self.word = *word;
        }
    }

    /// What one that had forgotten was told, once it is on disk.
    pub fn remind(&mut self, sworn: Ballot, word: Word, now: At) {
        self.sworn = sworn.max(word.ballot);
        self.word = word;
        // What it granted before it forgot.
        self.quiet_until = now.after(TERM);
        self.forgetful = false;
    }
}

/// What a majority of the others remembers, for one that has forgotten: to be on disk before it votes again.
pub fn recalled(told: Vec<(Ballot, Word)>) -> (Ballot, Word) {
    let sworn = told.iter().map(|(sworn, _)| *sworn).max().unwrap_or_default();
    let word = told.into_iter().map(|(_, word)| word).max_by_key(Word::rank).unwrap_or_else(Word::none);
    (sworn.max(word.ballot), word)
}

/// Whether one that has forgotten may go by what the others told: a majority remembers; or all were heard and none has
/// any word, so that none was ever acknowledged: the power went in the first moments of all.
pub fn enough(told: &[(Ballot, Word)], unable: usize, others: usize, voters: usize) -> bool {
    let blank = told.iter().all(|(_, word)| word.no.0 == 0);
    told.len() >= majority(voters) || blank && told.len() + unable == others
}

/// How many of so many voters are a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// A ballot above all that were seen, and no other voter's: its low bits are of the voter's address.
pub fn above(seen: Ballot, me: SocketAddr) -> Ballot {
    let own = match me.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()) & OWN,
        IpAddr::V6(ip) => ip.to_bits() as u64 & OWN,
    };
    Ballot((((seen.0 >> OWN_BITS) + 1) << OWN_BITS) | own)
}

const OWN_BITS: u32 = 24;
const OWN: u64 = (1 << OWN_BITS) - 1;

/// How many voters there are to be, where so many may be lost at once: enough that the rest is a majority.
pub fn wanted(losses: u64) -> usize {
    2 * losses.clamp(1, 4) as usize + 1
}

/// Whether those who assent are a majority of a set.
pub fn carries<'a>(set: &[SocketAddr], assents: impl Iterator<Item = &'a SocketAddr>) -> bool {
    assents.filter(|voter| set.contains(voter)).count() >= majority(set.len())
}

#[cfg(test)]
mod tests {
    use super::*;
    use vanewharf_mailroom::words::WordNo;

    const START: At = At(1_000_000_000);

    fn addr(no: u8) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, no], 7600))
    }

    fn lease(ballot: u64, no: u8) -> Plea {
        Plea::Lease { ballot: Ballot(ballot), holder: addr(no) }
    }

    fn sworn(ballot: u64) -> Sworn {
        Sworn { ballot: Ballot(ballot), holder: None, voters: Vec::new(), doors: 0 }
    }

    fn word(ballot: u64, no: u64) -> Word {
        Word { ballot: Ballot(ballot), no: WordNo(no), ..Word::none() }
    }

    fn keep(voter: &mut Voter, kept: Word, now: At) -> bool {
        let step = voter.hear(Plea::Keep { word: kept }, now);
        step.save.into_iter().for_each(|save| voter.saved(save));
        matches!(step.oath, Oath::Kept)
    }

    #[test]
    fn one_holder_at_a_time_and_none_right_after_a_restart() {
        let mut voter = Voter::start(None, None, true, START);
        assert!(matches!(voter.hear(lease(1 << 8, 1), START).oath, Oath::Granted { .. }));
        let (soon, later) = (START.after(TERM / 2), START.after(TERM));
        assert!(matches!(voter.hear(lease(2 << 8, 2), soon).oath, Oath::Refused { .. }), "it is held");
        let renew = |ballot| Plea::Renew { ballot: Ballot(ballot), holder: addr(1) };
        assert!(matches!(voter.hear(renew(1 << 8), soon).oath, Oath::Kept));
        assert!(matches!(voter.hear(lease(2 << 8, 2), later).oath, Oath::Refused { .. }), "it was renewed");
        assert!(matches!(voter.hear(lease(2 << 8, 2), soon.after(TERM)).oath, Oath::Granted { .. }));
        assert!(matches!(voter.hear(renew(1 << 8), later.after(TERM)).oath, Oath::Refused { .. }));
        let mut back = Voter::start(Some(&sworn(2 << 8)), None, false, START);
        assert!(
            matches!(back.hear(lease(3 << 8, 1), soon).oath, Oath::Refused { .. }),
            "granted before, perhaps"
        );
        assert!(matches!(back.hear(lease(3 << 8, 1), later).oath, Oath::Granted { .. }));
    }

    #[test]
    fn a_restart_waits_no_longer_once_the_one_sworn_to_disowns_the_lease() {
        let mut back = Voter::start(Some(&sworn(2 << 8)), None, false, START);
        back.disowned(Ballot(1 << 8), START);
        assert!(!back.vacant(START), "that is another's");
        back.disowned(Ballot(2 << 8), START);
        assert!(back.vacant(START));
    }

    #[test]
    fn what_was_kept_under_an_older_ballot_gives_way_and_nothing_older_is_kept() {
        let mut voter = Voter::start(None, None, true, START);
        assert!(keep(&mut voter, word(1 << 8, 3), START));
        assert!(matches!(voter.hear(lease(2 << 8, 2), START).oath, Oath::Granted { .. }));
        assert!(!keep(&mut voter, word(1 << 8, 4), START), "sworn to another since");
        assert!(keep(&mut voter, word(2 << 8, 3), START));
        assert!(!keep(&mut voter, word(2 << 8, 2), START), "older");
        assert_eq!(voter.word().rank(), (Ballot(2 << 8), WordNo(3)));
    }

    #[test]
    fn the_count_of_doors_outlasts_a_restart_and_is_told_with_the_grant() {
        let mut voter = Voter::start(None, None, true, START);
        let saved = voter.count(8);
        assert!(voter.count(8).is_none() && voter.count(0).is_none(), "no news");
        let Some(Save::Sworn(paper)) = saved else { panic!("{saved:?}") };
        let mut back = Voter::start(Some(&paper), None, false, START);
        let granted = back.hear(lease(1 << 8, 1), START.after(TERM)).oath;
        assert!(matches!(granted, Oath::Granted { doors: 8, .. }), "{granted:?}");
    }

    #[test]
    fn what_was_not_saved_is_not_held() {
        let mut voter = Voter::start(None, None, true, START);
        let step = voter.hear(Plea::Keep { word: word(1 << 8, 1) }, START);
        assert!(step.save.is_some(), "the disk then refuses it");
        assert_eq!(voter.word().no, WordNo(0));
    }

    #[test]
    fn one_that_forgot_does_nothing_until_it_is_reminded() {
        let mut voter = Voter::start(None, None, false, START);
        for plea in [lease(1 << 8, 1), Plea::Keep { word: word(1 << 8, 1) }, Plea::Recall] {
            assert!(matches!(voter.hear(plea, START.after(TERM)).oath, Oath::Unable));
        }
        let told = vec![(Ballot(5 << 8), word(3 << 8, 7)), (Ballot(4 << 8), word(4 << 8, 6))];
        let (sworn, word) = recalled(told);
        assert_eq!(word.rank(), (Ballot(4 << 8), WordNo(6)));
        voter.remind(sworn, word, START);
        assert!(!keep(&mut voter, self::word(4 << 8, 9), START), "the others have sworn to 5");
        assert!(keep(&mut voter, self::word(5 << 8, 9), START));
    }

    #[test]
    fn one_that_forgot_goes_by_a_majority_or_by_all_where_nothing_was_ever_kept() {
        let told = |no| (Ballot(1 << 8), word(1 << 8, no));
        assert!(enough(&[told(3), told(3)], 0, 2, 3));
        assert!(!enough(&[told(3)], 1, 2, 3), "the other may remember more");
        assert!(enough(&[told(0)], 1, 2, 3) && enough(&[], 2, 2, 3), "nobody has anything");
        assert!(!enough(&[], 1, 2, 3) && !enough(&[told(0)], 0, 2, 3), "one was not heard");
    }

    /// All histories of three voters and two holders of a fixed length, by a seeded walk: no two words are ever kept by
    /// majorities under one number, and none that was is lost to a later holder.
    #[test]
    fn what_a_majority_kept_is_found_by_every_later_holder() {
        use rand_walk::Walk;
        for seed in 0..400 {
            let mut walk = Walk(seed);
            let mut voters: Vec<_> = (0..3).map(|_| Voter::start(None, None, true, START)).collect();
            let mut now = START;
            let mut acknowledged: Option<Word> = None;
            for turn in 1..60u64 {
                now = now.after(TERM);
                let ballot = Ballot(turn << 8);
                // Some of the voters hear, in any order; one may have lost its disk since, and recalled.
                if walk.draw(6) == 0 {
                    let lost = walk.draw(3) as usize;
                    let mut fresh = Voter::start(None, None, false, now);
                    let others = (0..3).filter(|&no| no != lost);
                    let told = others.map(|no| (voters[no].sworn(), voters[no].word().clone())).collect();
                    let (sworn, word) = recalled(told);
                    fresh.remind(sworn, word, now);
                    voters[lost] = fresh;
                    now = now.after(TERM);
                }
                let heard: Vec<_> = (0..3).filter(|_| walk.draw(3) > 0).collect();
                let mut granted = Vec::new();
                for &no in &heard {
                    let plea = Plea::Lease { ballot, holder: addr(1) };
                    if let Oath::Granted { word, .. } = voters[no].hear(plea, now).oath {
                        granted.push(word);
                    }
                }
                if granted.len() < majority(3) {
                    continue;
                }
                let found = granted.into_iter().max_by_key(Word::rank).expect("a majority");
                if let Some(acknowledged) = &acknowledged {
                    assert!(found.no >= acknowledged.no, "seed {seed}: an acknowledged word is lost");
                    let same = found.no > acknowledged.no || found.evacuated == acknowledged.evacuated;
                    assert!(same, "seed {seed}: two words under one number");
                }
                let mut next = Word { ballot, ..found };
                for fresh in [false, true] {
                    if fresh {
                        next.no = WordNo(next.no.0 + 1);
                        next.evacuated = [format!("{turn}")].into();
                    }
                    let kept = (0..3).filter(|_| walk.draw(4) > 0).collect::<Vec<_>>();
                    let kept =
                        kept.into_iter().filter(|&no| keep(&mut voters[no], next.clone(), now)).count();
                    if kept < majority(3) {
                        break;
                    }
                    acknowledged = Some(next.clone());
                }
            }
        }
    }

    mod rand_walk {
        pub struct Walk(pub u64);

        impl Walk {
            pub fn draw(&mut self, below: u64) -> u64 {
                self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                (self.0 >> 33) % below
            }
        }
    }
}
