//! The rules that the control plane answers for, judged after the fact by what was seen, not by what the programs say.

use super::town::{History, LAG, Order, Run, Town, What};
use super::world::{CONTACT, Move, Trouble, Whom};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

const APPLY: Duration = Duration::from_millis(3000);
const REVOCATION: Duration = Duration::from_millis(5000);
const DRAIN: Duration = Duration::from_millis(3000);
const EVACUATION: Duration = Duration::from_millis(5000);
const ACKNOWLEDGE: Duration = Duration::from_millis(6000);
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const ALLOWANCE: f64 = 20.0;
/// What a cold backend may get in a second.
pub const COLD_PER_S: f64 = 7.5;
const COLD_OVERSHOOT: f64 = 1.5;
const COLD_ALLOWANCE: f64 = 5.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: &'static str,
    /// Seconds from the start of the day.
    pub at: f64,
    pub what: String,
}

pub struct Seen<'a> {
    pub town: &'a Town,
    pub troubles: &'a [Trouble],
    /// The core machines of the first start, and how the core changed since.
    pub offices: usize,
    pub moves: &'a [Move],
    pub begun: Instant,
}

impl Seen<'_> {
    fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.begun).as_secs_f64()
    }

    /// Whether something of the kind was so at some time in the last `CONTACT` before.
    fn lately(&self, at: Instant, counts: impl Fn(&Whom) -> bool) -> bool {
        let from = at.checked_sub(CONTACT).unwrap_or(self.begun);
        let near = |trouble: &Trouble| trouble.begun <= at && trouble.ended.is_none_or(|ended| ended >= from);
        self.troubles.iter().any(|trouble| near(trouble) && counts(&trouble.whom))
    }

    /// The core machines of that moment.
    fn core(&self, at: Instant) -> BTreeSet<usize> {
        let mut core: BTreeSet<usize> = (0..self.offices).collect();
        for one in self.moves.iter().filter(|one| one.at <= at) {
            if one.came {
                core.insert(one.no)
            } else {
                core.remove(&one.no)
            };
        }
        core
    }

    /// Nothing began or ended among the core lately, and more than half of it runs, connected.
    fn settled(&self, at: Instant) -> bool {
        let from = at.checked_sub(CONTACT).unwrap_or(self.begun);
        let members = self.core(at);
        let core = |whom: &Whom| match whom {
            Whom::Down(no) | Whom::Slowed(no) => members.contains(no),
            Whom::Ailing(_) => false,
            Whom::Parted(_) => true,
        };
        let within = |when: Instant| when >= from && when <= at;
        if self.moves.iter().any(|one| within(one.at)) {
            return false;
        }
        let of_core = || self.troubles.iter().filter(|trouble| core(&trouble.whom));
        if of_core().any(|trouble| within(trouble.begun) || trouble.ended.is_some_and(within)) {
            return false;
        }
        let open = of_core().filter(|one| one.begun <= at && one.ended.is_none_or(|ended| ended > at));
        let (mut down, mut cuts) = (BTreeSet::new(), Vec::new());
        for trouble in open {
            match &trouble.whom {
                Whom::Down(no) => drop(down.insert(*no)),
                Whom::Parted(some) => cuts.push(some),
                Whom::Slowed(_) => return false,
                Whom::Ailing(_) => {}
            }
        }
        // Those reach each other that are on the same side of each cut.
        let mut sides: BTreeMap<Vec<bool>, usize> = BTreeMap::new();
        for no in members.iter().filter(|no| !down.contains(no)) {
            *sides.entry(cuts.iter().map(|cut| cut.contains(no)).collect()).or_default() += 1;
        }
        sides.into_values().any(|side| side * 2 > members.len())
    }

    fn in_touch(&self, door: usize, at: Instant) -> bool {
        let no = door + self.offices;
        let own = |whom: &Whom| match whom {
            Whom::Down(one) | Whom::Ailing(one) | Whom::Slowed(one) => *one == no,
            Whom::Parted(_) => false,
        };
        at.duration_since(self.begun) > CONTACT && !self.lately(at, own) && self.settled(at)
    }
}

pub fn judge(seen: &Seen<'_>) -> Vec<Broken> {
    let history = seen.town.history.borrow();
    let mut broken = Vec::new();
    let mut say = |rule, at: Instant, what: String| broken.push(Broken { rule, at: seen.seconds(at), what });
    orders(seen, &history, &mut say);
    numbers(&history, &mut say);
    read_backs(&history, &mut say);
    agreement(seen, &history, &mut say);
    words(&history, &mut say);
    configuration(seen, &history, &mut say);
    keys(&history, &mut say);
    quotas(&history, &mut say);
    backends(seen, &history, &mut say);
    for at in &history.two_holders {
        say("LEASE", *at, "two hold the lease".to_owned());
    }
    for why in &history.ended {
        say("ENDED", seen.begun, why.clone());
    }
    let mut ran = BTreeSet::new();
    for run in history.runs.iter().filter(|run| run.once_only) {
        if !ran.insert(run.attempt) {
            say("TWICE", run.at, format!("attempt {} ran again", run.attempt));
        }
    }
    for run in &history.runs {
        let status = history.asked.get(&run.attempt).and_then(|asked| asked.status);
        if run.once_only && matches!(status, Some(429 | 503)) {
            say("REFUSED", run.at, format!("attempt {} ran and was answered {status:?}", run.attempt));
        }
    }
    broken
}

type Say<'a> = &'a mut dyn FnMut(&'static str, Instant, String);

fn orders(seen: &Seen<'_>, history: &History, say: Say<'_>) {
    let revision = |order: &Order| match &order.what {
        What::Replace { revision, .. } => *revision,
        _ => 0,
    };
    let newest = history.orders.iter().filter(|order| order.acked.is_some()).map(revision).max().unwrap_or(0);
    let last = history.orders.iter().filter_map(|order| order.acked).max().unwrap_or(seen.begun);
    let read: Option<serde_json::Value> =
        history.read_back.as_deref().and_then(|text| serde_json::from_str(text).ok());
    let number =
        read.as_ref().and_then(|read| read["revision"].as_str()?.strip_prefix('r')?.parse::<u64>().ok());
    if newest > 0 && number.is_none_or(|number| number < newest) {
        say("CONFIG", last, format!("r{newest} was acknowledged, and {number:?} is read back"));
    }
    if let Some(number) = number {
        let sent =
            |order: &&Order| matches!(&order.what, What::Replace { revision, .. } if *revision == number);
        let same = |order: &Order| match &order.what {
            What::Replace { body, .. } => serde_json::from_str::<serde_json::Value>(body).ok() == read,
            _ => false,
        };
        if !history.orders.iter().filter(sent).any(same) {
            say("CONFIG", last, format!("what is read back under r{number} was never sent so"));
        }
    }
    // The last order for a zone decides, where nothing uncertain came after it.
    let mut zones: BTreeMap<&str, Vec<&Order>> = BTreeMap::new();
    for order in &history.orders {
        if let What::Evacuate { zone, .. } = &order.what {
            zones.entry(zone).or_default().push(order);
        }
    }
    for (zone, orders) in zones {
        let Some(order) = orders.last().filter(|order| order.acked.is_some()) else {
            continue;
        };
        let What::Evacuate { begin, .. } = &order.what else {
            continue;
        };
        if history.evacuated.as_ref().is_some_and(|evacuated| evacuated.contains(zone) != *begin) {
            say("LOST", order.sent, format!("{zone} evacuated: {begin}, acknowledged and gone"));
        }
    }
    for order in &history.orders {
        if matches!(order.what, What::Invalid { .. }) && order.acked.is_some() {
            say("CONFIG", order.sent, "what is invalid was acknowledged".to_owned());
        }
        // An operator is told where a machine cannot take another one's place; of two bodies under one number one loses.
        let owed = !matches!(order.what, What::Invalid { .. } | What::Voters { .. });
        let owed = owed && !contested(history, order);
        if owed && order.refused.is_some() {
            say("DUTY", order.sent, format!("{:?} refused with {:?}", short(&order.what), order.refused));
        }
        // In one stretch with a settled core.
        // An acknowledgement that was lost on its way was in time all the same.
        let until = [order.taken, order.acked].into_iter().flatten().min();
        let until = until.unwrap_or(order.sent + ACKNOWLEDGE * 4);
        let mut calm = Duration::ZERO;
        let mut at = order.sent;
        let last = history.asked.values().map(|asked| asked.sent).max().unwrap_or(at);
        while at < until.min(last) {
            calm = if seen.settled(at) { calm + Duration::from_millis(100) } else { Duration::ZERO };
            at += Duration::from_millis(100);
            if calm > ACKNOWLEDGE && owed {
                let (what, sent) = (short(&order.what), seen.seconds(order.sent));
                let acked = order.acked.map(|at| seen.seconds(at));
                say("DUTY", at, format!("{what} not acknowledged in time: sent at {sent:.2}, {acked:.2?}"));
                break;
            }
        }
    }
}

fn short(what: &What) -> String {
    match what {
        What::Replace { revision, .. } => format!("r{revision}"),
        What::Evacuate { zone, begin } => format!("evacuation of {zone}: {begin}"),
        What::Invalid { revision } => format!("an invalid r{revision}"),
        What::Voters { out, into } => format!("voter {into} for {out}"),
    }
}

/// Whether another body was sent under its number.
fn contested(history: &History, order: &Order) -> bool {
    let What::Replace { revision, body } = &order.what else {
        return false;
    };
    history.orders.iter().any(
        |other| matches!(&other.what, What::Replace { revision: no, body: text } if no == revision && text != body),
    )
}

/// One body holds under one number, and what was taken is never refused afterwards.
///
/// A number that was passed over is acknowledged and changes nothing, whatever its body: that can be only where a higher
/// one was sent before, and no door or reader ever saw that number in force.
fn numbers(history: &History, say: Say<'_>) {
    let replaces = || {
        history.orders.iter().filter_map(|order| match &order.what {
            What::Replace { revision, body } => Some((order, *revision, body.as_str())),
            _ => None,
        })
    };
    let seen: BTreeSet<u64> = history.heard.iter().map(|heard| heard.revision).collect();
    let read: BTreeSet<u64> = history.read_backs.iter().filter_map(|read| revision_of(&read.text)).collect();
    let mut confirmed: BTreeMap<u64, Vec<(Instant, &str)>> = BTreeMap::new();
    for (order, revision, body) in replaces() {
        let at = [order.taken, order.acked].into_iter().flatten().min();
        at.into_iter().for_each(|at| confirmed.entry(revision).or_default().push((at, body)));
    }
    for (revision, bodies) in confirmed {
        let one = bodies.iter().min().copied();
        let Some((first, _)) = one.filter(|(_, body)| bodies.iter().any(|(_, other)| other != body)) else {
            continue;
        };
        let passed_over = replaces().any(|(order, other, _)| other > revision && order.sent < first);
        if !passed_over || seen.contains(&revision) || read.contains(&revision) {
            say("CONFIG", first, format!("two bodies were confirmed as r{revision}"));
        }
    }
    for order in history.orders.iter().filter(|order| order.refused.is_some()) {
        let same = |other: &&Order| other.what == order.what && !matches!(order.what, What::Voters { .. });
        let taken = |other: &Order| [other.taken, other.acked].into_iter().flatten().min();
        let taken = history.orders.iter().filter(same).filter_map(taken).min();
        if taken.is_some() {
            say("CONFIG", order.sent, format!("{} was taken, and refused later", short(&order.what)));
        }
    }
}

/// Found without reading all of a large configuration; nothing else in one has that name.
fn revision_of(text: &str) -> Option<u64> {
    text.split_once("\"revision\":\"r")?.1.split('"').next()?.parse().ok()
}

/// What is read back is never older than what was acknowledged, or read, before the call began; and it was sent so, and
/// not refused.
fn read_backs(history: &History, say: Say<'_>) {
    let mut bodies: BTreeMap<u64, &str> = BTreeMap::new();
    for read in &history.read_backs {
        let Some(revision) = revision_of(&read.text) else {
            say("CONFIG", read.came, "what was read back is no configuration".to_owned());
            continue;
        };
        let acked = |order: &&Order| order.acked.is_some_and(|at| at < read.sent);
        let acked = history.orders.iter().filter(acked).filter_map(|order| match &order.what {
            What::Replace { revision, .. } => Some(*revision),
            _ => None,
        });
        let before = history.read_backs.iter().filter(|other| other.came < read.sent);
        let before = before.filter_map(|other| revision_of(&other.text));
        let newest = acked.chain(before).max().unwrap_or(0);
        if revision < newest {
            say("STALE", read.sent, format!("r{revision} was read back, after r{newest}"));
        }
        if *bodies.entry(revision).or_insert(&read.text) != read.text {
            say("CONFIG", read.came, format!("two bodies were read back as r{revision}"));
        }
        let under =
            |order: &&Order| matches!(&order.what, What::Replace { revision: no, .. } if *no == revision);
        let with = |order: &Order| matches!(&order.what, What::Replace { body, .. } if *body == read.text);
        let sent: Vec<_> = history.orders.iter().filter(under).collect();
        if !sent.iter().any(|order| with(order)) {
            say("CONFIG", read.came, format!("what was read back as r{revision} was never sent so"));
        }
        if sent.iter().any(|order| with(order) && order.refused.is_some()) {
            say("CONFIG", read.came, format!("r{revision} was refused, and is in force"));
        }
        if sent.iter().any(|order| !with(order) && order.taken.or(order.acked).is_some()) {
            say("CONFIG", read.came, format!("another r{revision} was confirmed than is read back"));
        }
    }
}

/// All postmasters that run have the newest register at the end, and none is behind what was acknowledged.
fn agreement(seen: &Seen<'_>, history: &History, say: Say<'_>) {
    let newest = history.at_end.iter().filter_map(|one| one.had).max();
    let last = history.orders.iter().filter_map(|order| order.acked).max().unwrap_or(seen.begun);
    for one in history.at_end.iter().filter(|one| one.had != newest || one.had.is_none()) {
        say(
            "AGREE",
            last,
            format!("{} has {:?} at the end, and the newest is {newest:?}", one.name, one.had),
        );
    }
    let acked = history.orders.iter().filter(|order| order.acked.is_some());
    let acked = acked.filter_map(|order| match &order.what {
        What::Replace { revision, .. } => Some(*revision),
        _ => None,
    });
    let acked = acked.max().unwrap_or(0);
    if newest.is_some_and(|(_, revision)| revision < acked) {
        say("AGREE", last, format!("the postmasters have {newest:?}, and r{acked} was acknowledged"));
    }
}

/// No door goes back, and what has one number is one register.
fn words(history: &History, say: Say<'_>) {
    let (mut bodies, mut newest) = (BTreeMap::new(), BTreeMap::new());
    for heard in &history.heard {
        let first = bodies.entry(heard.no).or_insert(heard.body);
        if *first != heard.body {
            say("CONFIG", heard.at, format!("two words have the number {}", heard.no));
        }
        let last = newest.entry((heard.door, heard.life)).or_insert((0, 0));
        if heard.no < last.0 || heard.revision < last.1 {
            say("CONFIG", heard.at, format!("door {} went back to r{}", heard.door, heard.revision));
        }
        *last = (heard.no, heard.revision);
    }
}

/// Doors in touch go by what was acknowledged.
fn configuration(seen: &Seen<'_>, history: &History, say: Say<'_>) {
    let mut acked: Vec<(Instant, u64)> = Vec::new();
    for order in &history.orders {
        if let (What::Replace { revision, .. }, Some(at)) = (&order.what, order.acked) {
            acked.push((at, *revision));
        }
    }
    for asked in history.asked.values() {
        let newer =
            acked.iter().find(|(at, revision)| *revision > asked.revision && asked.sent > *at + APPLY);
        if let Some((_, revision)) = newer
            && seen.in_touch(asked.door, asked.sent)
            && matches!(asked.status, Some(200 | 401 | 404))
        {
            let what = format!("door {} went by r{}, after r{revision}", asked.door, asked.revision);
            say("CONFIG", asked.sent, what);
        }
    }
}

/// A key that was taken away lets nothing in anywhere.
fn keys(history: &History, say: Say<'_>) {
    let mut acked: Vec<(Instant, u64)> = Vec::new();
    for order in &history.orders {
        if let (What::Replace { revision, .. }, Some(at)) = (&order.what, order.acked) {
            acked.push((at, *revision));
        }
    }
    for run in &history.runs {
        let without =
            |revision: &u64| history.keys.get(revision).is_some_and(|keys| !keys.contains(&run.key));
        // Keys are not given back here, so that any version without it has taken it away.
        let taken = acked.iter().find(|(at, revision)| without(revision) && run.sent > *at + REVOCATION);
        if let Some((_, revision)) = taken {
            say(
                "REVOKED",
                run.sent,
                format!("door {} let {} in, taken away by r{revision}", run.door, run.key),
            );
        }
    }
}

fn quotas(history: &History, say: Say<'_>) {
    let Some(quotas) = history.quotas.values().next() else {
        return;
    };
    for (tenant, (rate, burst)) in quotas {
        let mut runs: Vec<&Run> = history.runs.iter().filter(|run| run.tenant == *tenant).collect();
        runs.sort_by_key(|run| run.at);
        let bound = (rate * QUOTA_WINDOW.as_secs_f64() + burst) * (1.0 + OVERSHOOT) + ALLOWANCE;
        for (no, first) in runs.iter().enumerate() {
            let until = first.at + QUOTA_WINDOW;
            let within = runs[no..].iter().take_while(|run| run.at < until);
            let count = within.filter(|run| run.sent >= first.at).count();
            if count as f64 > bound {
                say("QUOTA", first.at, format!("{tenant}: {count} in 5 s, {bound:.0} may"));
                break;
            }
        }
    }
}

fn backends(seen: &Seen<'_>, history: &History, say: Say<'_>) {
    let backends = seen.town.backends.borrow();
    for run in &history.runs {
        let drained = seen.town.shown_draining(&run.backend).map(|at| at + DRAIN);
        if drained.is_some_and(|at| run.at > at && seen.in_touch(run.door, run.at)) {
            say("DRAIN", run.at, format!("{} from door {}", run.backend, run.door));
        }
        let Some(backend) = backends.get(&run.backend) else {
            continue;
        };
        let of_zone = |order: &&Order| match &order.what {
            What::Evacuate { zone, .. } => *zone == backend.zone,
            _ => false,
        };
        // What holds is decided by the last order before it, and taken back from the moment that is sent.
        let last = history.orders.iter().filter(of_zone).rfind(|order| order.sent <= run.at);
        if let Some(order) = last
            && matches!(order.what, What::Evacuate { begin: true, .. })
            && order.acked.is_some_and(|at| run.at > at + EVACUATION)
            && seen.in_touch(run.door, run.at)
        {
            say("EVAC", run.at, format!("{} in {} from door {}", run.backend, backend.zone, run.door));
        }
    }
    for (id, backend) in backends.iter() {
        let (Some(from), Some(until)) = (backend.cold_from, backend.cold_until) else {
            continue;
        };
        // From when the list has shown it.
        let from = from + LAG;
        let mut at: Vec<_> = history
            .runs
            .iter()
            .filter(|run| run.backend == *id && run.at >= from && run.at < until)
            .collect();
        at.sort_by_key(|run| run.at);
        let bound = COLD_PER_S * COLD_OVERSHOOT + COLD_ALLOWANCE;
        for (no, first) in at.iter().enumerate() {
            let within = at[no..].iter().take_while(|run| run.at < first.at + Duration::from_secs(1));
            let count = within.filter(|run| run.sent >= first.at).count();
            if count as f64 > bound {
                say("FAILBACK", first.at, format!("{id}: {count} in 1 s, {bound:.1} may"));
                break;
            }
        }
    }
}
