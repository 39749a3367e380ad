//! The worst days, drawn from a seed: orders that race, come again and change the voters, hundreds of changes, wiped and
//! replaced machines with other seeds, second losses as soon as they are allowed, cuts of the lease holder, clocks that
//! run apart. No more is lost at once than the system is to bear.

use super::day::{SYNC_TIME, TRAFFIC};
use super::disk::{Health, Left};
use super::plan::{Errand, Mishap, Plan, Step, Wanted, Who};
use super::world::{Shape, ZONES};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// What a day is mostly about, and how often; each day has a little of all. Days of hundreds of changes take longest.
const THEMES: [(&str, u32); 6] =
    [("membership", 3), ("wipes", 3), ("changes", 1), ("cuts", 2), ("clocks", 1), ("answers", 2)];
/// By which part clocks may be off.
const DRIFT: f64 = 0.05;

/// Machines that count as lost for a while; `usize::MAX` is whoever holds the lease then.
struct Lost {
    from: f64,
    until: f64,
    whom: BTreeSet<usize>,
    /// With their disks.
    wiped: bool,
}

struct Draw {
    chance: SmallRng,
    shape: Shape,
    lost: Vec<Lost>,
    steps: Vec<Step>,
    /// The core machines that are there, in the order of the operator's list.
    core: Vec<usize>,
    gone: Vec<usize>,
    spares: Vec<usize>,
}

/// The plan of a seed.
pub fn drawn(shape: Shape, seed: u64) -> Plan {
    let mut chance = SmallRng::seed_from_u64(seed ^ 0x4a2d);
    let theme = THEMES.choose_weighted(&mut chance, |(_, weight)| *weight).expect("some").0;
    let name = format!("seed {seed}: {theme}");
    let core: Vec<usize> = (0..shape.offices).collect();
    let first = shape.offices + shape.doors;
    let spares = if chance.random_bool(if theme == "membership" { 0.8 } else { 0.15 }) { 2 } else { 0 };
    let mut draw = Draw {
        chance,
        shape,
        lost: Vec::new(),
        steps: Vec::new(),
        core,
        gone: Vec::new(),
        spares: (first..first + spares).rev().collect(),
    };
    let (from, span) = (TRAFFIC.as_secs_f64(), shape.seconds as f64);
    let count = draw.chance.random_range(1..=shape.troubles.max(1));
    let mut times: Vec<f64> = (0..count).map(|_| from + draw.chance.random_range(0.0..span)).collect();
    times.sort_by(f64::total_cmp);
    for when in times {
        draw.trouble(theme, when);
    }
    if draw.chance.random_bool(0.3) {
        draw.closing(from + span);
    }
    let errands = draw.errands(theme, from, span);
    let drift = if theme == "clocks" || draw.chance.random_bool(0.1) { DRIFT } else { 0.0 };
    let lost = if theme == "answers" || draw.chance.random_bool(0.3) { 0.4 } else { 0.0 };
    Plan { name, seed, shape, spares, drift, lost, errands, steps: draw.steps }
}

impl Draw {
    fn bears(&self) -> usize {
        (self.shape.offices - 1) / 2
    }

    /// Whether no more than may be lost with a disk are lost at once, if these are; and then they are.
    fn may_lose(&mut self, from: f64, span: f64, whom: BTreeSet<usize>, wiped: bool) -> bool {
        // A machine stays lost until it is in step again.
        let until = from + span + SYNC_TIME;
        let near = self.lost.iter().filter(|other| other.from <= until && from <= other.until);
        let (mut all, mut of_disks) = (whom.clone(), wiped);
        for other in near {
            all.extend(&other.whom);
            of_disks |= other.wiped;
        }
        let may = !of_disks || all.len() <= self.bears();
        if may {
            self.lost.push(Lost { from, until, whom, wiped });
        }
        may
    }

    fn one(&mut self) -> usize {
        *self.core.choose(&mut self.chance).expect("a core")
    }

    /// A machine of the core, and often the lease holder.
    fn someone(&mut self) -> (Who, BTreeSet<usize>) {
        if self.chance.random_bool(0.4) {
            return (Who::Holder, [usize::MAX].into());
        }
        let one = self.one();
        (Who::No(one), [one].into())
    }

    /// Three that serve control at the time, in any order; they may be down or cut off.
    fn seeds(&mut self) -> Vec<Who> {
        let mut all = self.core.clone();
        let mut seeds = Vec::new();
        while seeds.len() < 3 && !all.is_empty() {
            let at = self.chance.random_range(0..all.len());
            seeds.push(Who::No(all.remove(at)));
        }
        seeds
    }

    fn step(&mut self, at: f64, span: f64, mishap: Mishap, whom: Vec<Who>) -> &mut Step {
        self.steps.push(Step { at, span, mishap, whom, seeds: Vec::new(), after_ack: false });
        self.steps.last_mut().expect("it was pushed")
    }

    fn trouble(&mut self, theme: &str, when: f64) {
        let kinds: &[u32] = match theme {
            "membership" => &[9, 9, 9, 8, 0, 3, 6],
            "wipes" => &[3, 3, 3, 12, 8, 5],
            "changes" => &[0, 2, 8, 11, 13, 4, 6],
            "cuts" => &[6, 6, 7, 7, 4],
            "clocks" => &[6, 4, 4, 0, 13],
            _ => &[0, 1, 2, 4, 5, 6, 13],
        };
        let kind = if self.chance.random_bool(0.7) {
            *kinds.choose(&mut self.chance).expect("some")
        } else {
            self.chance.random_range(0..16)
        };
        let span = self.chance.random_range(0.3..5.0);
        match kind {
            0 | 8 | 13 => {
                let (who, lost) = self.someone();
                if self.may_lose(when, span + 0.8, lost, false) {
                    let seeds = if kind == 8 { self.seeds() } else { Vec::new() };
                    let mishap = if kind == 13 { Mishap::Term } else { Mishap::Kill };
                    self.step(when, span, mishap, vec![who]).seeds = seeds;
                }
            }
            1 => {
                let (whom, span) = (self.core.iter().copied().map(Who::No).collect(), span / 4.0);
                self.step(when, span, Mishap::Kill, whom);
            }
            2 => {
                let (who, lost) = self.someone();
                let left = [Left::Nothing, Left::All, Left::Torn(self.chance.random())];
                let left = *left.choose(&mut self.chance).expect("three");
                if self.may_lose(when, span, lost, false) {
                    self.step(when, span, Mishap::Power(left), vec![who]);
                }
            }
            3 => self.wipe(when, span),
            4 => {
                let (who, lost) = self.someone();
                let span = if self.chance.random_bool(0.5) { 20.0 } else { span };
                if self.may_lose(when, span, lost, false) {
                    self.step(when, span, Mishap::Freeze, vec![who]);
                }
            }
            5 => self.ailing_disk(when, span),
            6 => self.cut(when),
            7 => {
                let (who, lost) = self.someone();
                let span = *[20.0, 20.0, span].choose(&mut self.chance).expect("three");
                let mishap = if self.chance.random_bool(0.5) { Mishap::Unheard } else { Mishap::Deaf };
                if self.may_lose(when, span, lost, false) {
                    self.step(when, span, mishap, vec![who]);
                }
            }
            9 => self.replaced(when, span),
            11 => {
                let (who, lost) = self.someone();
                let rate = *[20_000, 60_000, 250_000].choose(&mut self.chance).expect("three");
                if self.may_lose(when, span * 3.0, lost, false) {
                    self.step(when, span * 3.0, Mishap::Narrow(rate), vec![who]);
                }
            }
            12 => {
                let wiped = self.wiped(when, span / 3.0);
                self.step(when, span / 3.0, Mishap::Blackout, wiped);
            }
            14 => {
                let door = self.shape.offices + self.chance.random_range(0..self.shape.doors);
                self.step(when, span * 2.0, Mishap::DoorCut { door }, Vec::new());
            }
            _ => {
                let door = self.shape.offices + self.chance.random_range(0..self.shape.doors);
                self.step(when, span, Mishap::DoorKill { door }, Vec::new());
            }
        }
    }

    /// As many disks as may be lost at that time.
    fn wiped(&mut self, when: f64, span: f64) -> Vec<Who> {
        let (mut all, mut some) = (self.core.clone(), BTreeSet::new());
        while some.len() < self.bears() {
            some.insert(all.remove(self.chance.random_range(0..all.len())));
        }
        let may = self.may_lose(when, span, some.clone(), true);
        some.into_iter().filter(|_| may).map(Who::No).collect()
    }

    fn ailing_disk(&mut self, when: f64, span: f64) {
        let health = *[Health::Slow, Health::Hangs, Health::Full].choose(&mut self.chance).expect("three");
        let who = self.someone().0;
        self.step(when, span, Mishap::Disk(health), vec![who]);
    }

    /// A disk is lost, and often another machine as soon as that one counts no more; others' disks are slow around it.
    fn wipe(&mut self, when: f64, span: f64) {
        let one = self.one();
        if !self.may_lose(when, span, [one].into(), true) {
            return;
        }
        let seeds = if self.chance.random_bool(0.6) { self.seeds() } else { Vec::new() };
        self.step(when, span, Mishap::Wipe, vec![Who::No(one)]).seeds = seeds;
        if self.chance.random_bool(0.4) {
            let at = when + span + self.chance.random_range(-0.5..SYNC_TIME);
            self.ailing_disk(at.max(when), 2.5);
        }
        if self.chance.random_bool(0.7) {
            self.second(when + span + SYNC_TIME);
        }
    }

    /// The next loss as soon as the one before counts no more.
    fn second(&mut self, when: f64) {
        let (when, span) = (when + self.chance.random_range(0.01..0.3), self.chance.random_range(0.5..8.0));
        let one = self.one();
        let (mishap, wiped) = match self.chance.random_range(0..6) {
            0 => (Mishap::Kill, false),
            1 => (Mishap::Power(Left::Nothing), false),
            2 => (Mishap::Cut { doors: Vec::new() }, false),
            3 => (Mishap::Freeze, false),
            _ => (Mishap::Wipe, true),
        };
        if self.may_lose(when, span, [one].into(), wiped) {
            let seeds = if wiped && self.chance.random_bool(0.5) { self.seeds() } else { Vec::new() };
            self.step(when, span, mishap, vec![Who::No(one)]).seeds = seeds;
        }
    }

    /// The lesser side with the lease holder on it, or any lesser side.
    fn cut(&mut self, when: f64) {
        let span = *[20.0, 20.0, 3.0, 8.0].choose(&mut self.chance).expect("four");
        let most = self.bears().max(1);
        let (who, mut lost) = self.someone();
        let mut whom = vec![who];
        if most > 1 && self.chance.random_bool(0.5) {
            let other = self.one();
            whom.push(Who::No(other));
            lost.insert(other);
        }
        let doors = (0..self.shape.doors).filter(|_| self.chance.random_bool(0.25));
        let doors = doors.map(|no| no + self.shape.offices).collect();
        if self.may_lose(when, span, lost, false) {
            self.step(when, span, Mishap::Cut { doors }, whom);
        }
    }

    /// A machine is removed for good, and another one comes at a new address.
    fn replaced(&mut self, when: f64, span: f64) {
        let Some(new) = self.spares.last().copied() else {
            return;
        };
        let old = self.one();
        // It stops counting once its successor has had its time.
        if !self.may_lose(when, span + 0.8, [old].into(), true) {
            return;
        }
        self.spares.pop();
        self.core.retain(|no| *no != old);
        self.core.push(new);
        self.gone.push(old);
        let seeds: Vec<Who> = self.seeds().into_iter().filter(|who| *who != Who::No(new)).collect();
        self.step(when, span, Mishap::Gone { new }, vec![Who::No(old)]).seeds = seeds;
        if self.chance.random_bool(0.6) {
            self.second(when + span + 0.8 + SYNC_TIME);
        }
    }

    /// Right after an acknowledgement all lose power, as many as may with their disks.
    fn closing(&mut self, when: f64) {
        let wiped = self.wiped(when, 4.0);
        self.step(when, 1.0, Mishap::Blackout, wiped).after_ack = true;
    }

    fn errands(&mut self, theme: &str, from: f64, span: f64) -> Vec<Errand> {
        let mut all = Vec::new();
        if theme == "changes" {
            let count = self.chance.random_range(200..=1000);
            let routes = *[0, 20, 100, 200].choose(&mut self.chance).expect("four");
            // As big as it gets, but no day is to take minutes.
            let count = if routes >= 100 { count / 2 } else { count };
            let gap = span / count as f64;
            for no in 0..count {
                let again = self.chance.random_bool(0.02).then_some(1.5);
                let wanted = Wanted::Replace { routes, fewer_keys: false, bodies: 1 };
                all.push(Errand { at: from + gap * no as f64, wanted, again });
            }
        }
        for _ in 0..self.chance.random_range(3..12) {
            let at = from + self.chance.random_range(0.0..span);
            let again = self.chance.random_bool(0.4).then(|| self.chance.random_range(0.0..6.0));
            let wanted = match self.chance.random_range(0..12) {
                0 => {
                    let zone = ZONES[self.chance.random_range(0..ZONES.len())].0.to_owned();
                    let begin = self.chance.random_bool(0.7);
                    Wanted::Evacuate { zone, begin }
                }
                1 => Wanted::Invalid,
                2..=4 => Wanted::Replace { routes: 0, fewer_keys: false, bodies: 2 },
                5 => Wanted::Replace { routes: 0, fewer_keys: true, bodies: 1 },
                _ => Wanted::Replace { routes: 0, fewer_keys: false, bodies: 1 },
            };
            let again = again.filter(|_| matches!(wanted, Wanted::Replace { .. }));
            all.push(Errand { at, wanted, again });
            if self.chance.random_bool(0.2) {
                // A burst: more than may be under way at once.
                for no in 0..self.chance.random_range(4..12) {
                    let wanted = Wanted::Replace { routes: 0, fewer_keys: false, bodies: 1 };
                    all.push(Errand { at: at + f64::from(no) * 0.01, wanted, again: None });
                }
            }
        }
        let voters = if theme == "membership" { 3 } else { usize::from(self.chance.random_bool(0.1)) };
        for _ in 0..voters {
            let at = from + self.chance.random_range(0.0..span);
            let out = if self.chance.random_bool(0.4) { Who::Holder } else { Who::No(self.one()) };
            let into = match self.gone.first() {
                Some(gone) if self.chance.random_bool(0.2) => Who::No(*gone),
                _ => Who::No(self.one()),
            };
            let again = self.chance.random_bool(0.5).then_some(0.4);
            all.push(Errand { at, wanted: Wanted::Voters { out, into }, again });
        }
        all
    }
}
