//! A lab day as data: what is ordered and what goes wrong, when. Drawn from a seed (`hard.rs`), or read from a file in the
//! project's own notation, which docs/lab.md describes.

use super::disk::{Health, Left};
use super::world::{Shape, ZONES};
use serde::Deserialize;
use std::path::Path;

/// A core machine, by number or by what it does when it is struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    No(usize),
    Holder,
    /// The first of the operator's list that does not hold the lease.
    Follower,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Wanted {
    /// With so many routes more; a key is taken away; so many bodies under one number, sent at once.
    Replace {
        routes: usize,
        fewer_keys: bool,
        bodies: usize,
    },
    Evacuate {
        zone: String,
        begin: bool,
    },
    Voters {
        out: Who,
        into: Who,
    },
    Invalid,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Errand {
    pub at: f64,
    pub wanted: Wanted,
    /// So long after its acknowledgement it is sent once more.
    pub again: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Mishap {
    Kill,
    Power(Left),
    /// Loses power and its disk.
    Wipe,
    Freeze,
    /// Told to end, and started again.
    Term,
    /// Cut off from all others but these doors.
    Cut {
        doors: Vec<usize>,
    },
    /// What it says reaches nobody.
    Unheard,
    /// Nothing reaches it.
    Deaf,
    Disk(Health),
    /// It sends so many bytes a second at most.
    Narrow(u64),
    /// Told to end and gone for good, with its disk; after the span a new one comes at another address.
    Gone {
        new: usize,
    },
    /// All machines lose power; those named lose their disks as well.
    Blackout,
    DoorCut {
        door: usize,
    },
    DoorKill {
        door: usize,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: f64,
    pub span: f64,
    pub mishap: Mishap,
    pub whom: Vec<Who>,
    /// What those are told as seeds when they start again.
    pub seeds: Vec<Who>,
    /// It waits for the next acknowledgement.
    pub after_ack: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    pub seed: u64,
    pub shape: Shape,
    /// Core machines that may come later.
    pub spares: usize,
    /// By which part steady clocks are fast or slow at most.
    pub drift: f64,
    /// Which part of the answers to operators is lost.
    pub lost: f64,
    pub errands: Vec<Errand>,
    pub steps: Vec<Step>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Page {
    about: String,
    postmasters: usize,
    doors: usize,
    seconds: u64,
    seed: u64,
    #[serde(default = "ten")]
    rate: u64,
    #[serde(default)]
    spares: usize,
    #[serde(default)]
    drift: f64,
    #[serde(default)]
    answers_lost: f64,
    #[serde(default)]
    order: Vec<OrderRow>,
    #[serde(default)]
    trouble: Vec<TroubleRow>,
}

fn ten() -> u64 {
    10
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderRow {
    at: f64,
    kind: String,
    count: Option<usize>,
    gap: Option<f64>,
    routes: Option<usize>,
    bodies: Option<usize>,
    fewer_keys: Option<bool>,
    again: Option<f64>,
    zone: Option<String>,
    out: Option<String>,
    into: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TroubleRow {
    at: f64,
    #[serde(rename = "for")]
    span: f64,
    kind: String,
    #[serde(default)]
    whom: Vec<String>,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    after_ack: bool,
    doors: Option<Vec<usize>>,
    bytes_per_s: Option<u64>,
    new: Option<String>,
}

type Checked<T> = Result<T, String>;

impl Plan {
    /// What is wrong with a file is told with the file, the key and why.
    pub fn read(path: &Path) -> Checked<Plan> {
        let named = |why: String| format!("{}: {why}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| named(error.to_string()))?;
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        Plan::of(&name, &text).map_err(named)
    }

    pub fn of(name: &str, text: &str) -> Checked<Plan> {
        let page: Page = toml::from_str(text).map_err(|error| error.to_string())?;
        within("postmasters", page.postmasters as f64, 1.0, 9.0)?;
        within("doors", page.doors as f64, 1.0, 50.0)?;
        within("spares", page.spares as f64, 0.0, 9.0)?;
        within("seconds", page.seconds as f64, 1.0, 3600.0)?;
        within("rate", page.rate as f64, 1.0, 10_000.0)?;
        within("drift", page.drift, 0.0, 0.5)?;
        within("answers_lost", page.answers_lost, 0.0, 0.9)?;
        if page.about.is_empty() {
            return Err("about: it says nothing".to_owned());
        }
        let all = Names { offices: page.postmasters, doors: page.doors, spares: page.spares };
        let mut errands = Vec::new();
        for (no, row) in page.order.iter().enumerate() {
            errands.extend(row.errands(&all).map_err(|why| format!("order {}: {why}", no + 1))?);
        }
        let steps = page.trouble.iter().enumerate();
        let steps = steps.map(|(no, row)| row.step(&all).map_err(|why| format!("trouble {}: {why}", no + 1)));
        let shape = Shape {
            offices: page.postmasters,
            doors: page.doors,
            seconds: page.seconds,
            rate: page.rate,
            troubles: 0,
        };
        let (spares, drift, lost) = (page.spares, page.drift, page.answers_lost);
        let (name, steps) = (name.to_owned(), steps.collect::<Checked<_>>()?);
        Ok(Plan { name, seed: page.seed, shape, spares, drift, lost, errands, steps })
    }
}

fn within(key: &str, value: f64, least: f64, most: f64) -> Checked<()> {
    let sound = (least..=most).contains(&value);
    sound.then_some(()).ok_or_else(|| format!("{key}: {value} is not from {least} to {most}"))
}

fn needed<T>(key: &str, value: Option<T>, kind: &str) -> Checked<T> {
    value.ok_or_else(|| format!("{key}: it is needed for {kind}"))
}

struct Names {
    offices: usize,
    doors: usize,
    spares: usize,
}

impl Names {
    /// Spares are numbered after the first ones; a machine's place in the world comes after the doors.
    fn who(&self, key: &str, name: &str) -> Checked<Who> {
        match name {
            "holder" => return Ok(Who::Holder),
            "follower" => return Ok(Who::Follower),
            _ => {}
        }
        let no = name.strip_prefix("central-").and_then(|no| no.parse::<usize>().ok());
        match no {
            Some(no) if no < self.offices => Ok(Who::No(no)),
            Some(no) if no < self.offices + self.spares => Ok(Who::No(no + self.doors)),
            _ => Err(format!("{key}: {name} is no postmaster: holder, follower, or central-0 and so on")),
        }
    }

    fn all(&self, key: &str, names: &[String]) -> Checked<Vec<Who>> {
        names.iter().map(|name| self.who(key, name)).collect()
    }

    fn door(&self, no: usize) -> Checked<usize> {
        let sound = no < self.doors;
        sound.then_some(no + self.offices).ok_or_else(|| format!("doors: there is no door {no}"))
    }
}

impl OrderRow {
    fn errands(&self, all: &Names) -> Checked<Vec<Errand>> {
        within("at", self.at, 1.0, 3600.0)?;
        let (count, gap) = (self.count.unwrap_or(1), self.gap.unwrap_or(0.5));
        within("count", count as f64, 1.0, 5000.0)?;
        within("gap", gap, 0.01, 600.0)?;
        let zone = || {
            let zone = needed("zone", self.zone.clone(), &self.kind)?;
            let known = ZONES.iter().any(|(known, _)| *known == zone);
            known.then_some(zone.clone()).ok_or_else(|| format!("zone: {zone} is not known"))
        };
        let who = |key, name: &Option<String>| all.who(key, &needed(key, name.clone(), &self.kind)?);
        let wanted = match self.kind.as_str() {
            "replace" => {
                let (routes, bodies) = (self.routes.unwrap_or(0), self.bodies.unwrap_or(1));
                within("routes", routes as f64, 0.0, 50_000.0)?;
                within("bodies", bodies as f64, 1.0, 8.0)?;
                Wanted::Replace { routes, fewer_keys: self.fewer_keys.unwrap_or(false), bodies }
            }
            "evacuate" => Wanted::Evacuate { zone: zone()?, begin: true },
            "finish" => Wanted::Evacuate { zone: zone()?, begin: false },
            "voters" => Wanted::Voters { out: who("out", &self.out)?, into: who("into", &self.into)? },
            "invalid" => Wanted::Invalid,
            other => {
                return Err(format!("kind: {other} is none of replace, evacuate, finish, voters, invalid"));
            }
        };
        let at = |no: usize| self.at + gap * no as f64;
        Ok((0..count).map(|no| Errand { at: at(no), wanted: wanted.clone(), again: self.again }).collect())
    }
}

impl TroubleRow {
    fn step(&self, all: &Names) -> Checked<Step> {
        within("at", self.at, 1.0, 3600.0)?;
        within("for", self.span, 0.05, 3600.0)?;
        let (whom, seeds) = (all.all("whom", &self.whom)?, all.all("seeds", &self.seeds)?);
        let doors = self.doors.iter().flatten().map(|no| all.door(*no)).collect::<Checked<Vec<_>>>()?;
        let door = || needed("doors", doors.first().copied(), &self.kind);
        let mishap = match self.kind.as_str() {
            "kill" => Mishap::Kill,
            "power" => Mishap::Power(Left::Nothing),
            "wipe" => Mishap::Wipe,
            "freeze" => Mishap::Freeze,
            "term" => Mishap::Term,
            "cut" => Mishap::Cut { doors: doors.clone() },
            "unheard" => Mishap::Unheard,
            "deaf" => Mishap::Deaf,
            "disk-slow" => Mishap::Disk(Health::Slow),
            "disk-hangs" => Mishap::Disk(Health::Hangs),
            "disk-full" => Mishap::Disk(Health::Full),
            "narrow" => Mishap::Narrow(needed("bytes_per_s", self.bytes_per_s, &self.kind)?),
            "gone" => match all.who("new", &needed("new", self.new.clone(), &self.kind)?)? {
                Who::No(new) if new >= all.offices => Mishap::Gone { new },
                _ => return Err("new: it is no spare".to_owned()),
            },
            "blackout" => Mishap::Blackout,
            "door-cut" => Mishap::DoorCut { door: door()? },
            "door-kill" => Mishap::DoorKill { door: door()? },
            other => return Err(format!("kind: {other} is no trouble")),
        };
        let anybody = matches!(mishap, Mishap::Blackout | Mishap::DoorCut { .. } | Mishap::DoorKill { .. });
        if !anybody && whom.is_empty() {
            return Err(format!("whom: it is needed for {}", self.kind));
        }
        Ok(Step { at: self.at, span: self.span, mishap, whom, seeds, after_ack: self.after_ack })
    }
}
