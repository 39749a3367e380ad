//! The ledger: what the doors report, summed; doors that fall silent stay in the sums until their slices have lapsed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use vanewharf_mailroom::clock::At;
use vanewharf_mailroom::words::{DoorRow, Ledger, OfficeRow, Report, Use, Version};

/// A door is named to clients for so long after it was last heard.
const NAMED: Duration = Duration::from_millis(1500);
/// And counted for so long: by then its own slices have shrunk to their floor.
const COUNTED: Duration = Duration::from_secs(12);
/// A reading is averaged over at least this.
const READING: Duration = Duration::from_millis(900);

#[derive(Clone, Debug)]
struct Heard {
    row: DoorRow,
    life: u64,
    made: At,
    /// The counts that the rates are taken from, and when they were made.
    base: BTreeMap<String, u64>,
    base_at: At,
    latest: BTreeMap<String, u64>,
    rates: BTreeMap<String, f64>,
    slices: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, Default)]
pub struct Summing {
    doors: BTreeMap<String, Heard>,
    offices: BTreeMap<OfficeRow, At>,
}

impl Summing {
    pub fn report(&mut self, report: Report, now: At) {
        let made = now.before(Duration::from_millis(report.age_ms));
        let Report { door, life, let_through, slices, .. } = report;
        let heard = self.doors.get_mut(&door.name);
        match heard.filter(|heard| heard.life == life) {
            Some(heard) if made > heard.made => {
                (heard.row, heard.made, heard.slices) = (door, made, slices);
                heard.latest = let_through;
                let gap = made.since(heard.base_at);
                if gap >= READING {
                    let rate = |(name, count): (&String, &u64)| {
                        let before = heard.base.get(name).copied().unwrap_or(0);
                        (name.clone(), count.saturating_sub(before) as f64 / gap.as_secs_f64())
                    };
                    heard.rates = heard.latest.iter().map(rate).collect();
                    (heard.base, heard.base_at) = (heard.latest.clone(), made);
                }
            }
            Some(_) => {}
            None => {
                let (base, latest, rates) = (let_through.clone(), let_through, BTreeMap::new());
                let heard = Heard { row: door, life, made, base, base_at: made, latest, rates, slices };
                self.doors.insert(heard.row.name.clone(), heard);
            }
        }
    }

    pub fn office(&mut self, office: OfficeRow, now: At) {
        self.offices.insert(office, now);
    }

    /// What this process heard itself, for the one who sums.
    pub fn reports(&self, now: At) -> Vec<Report> {
        let fresh = self.doors.values().filter(|heard| now.since(heard.made) < NAMED);
        let told = |heard: &Heard| Report {
            door: heard.row.clone(),
            life: heard.life,
            age_ms: now.since(heard.made).as_millis() as u64,
            let_through: heard.latest.clone(),
            slices: heard.slices.clone(),
        };
        fresh.map(told).collect()
    }

    pub fn ledger(&mut self, version: Version, now: At) -> Ledger {
        self.doors.retain(|_, heard| now.since(heard.made) < COUNTED);
        self.offices.retain(|_, heard| now.since(*heard) < COUNTED);
        let mut tenants: BTreeMap<String, Use> = BTreeMap::new();
        for heard in self.doors.values() {
            for (name, slice) in &heard.slices {
                let sum = tenants.entry(name.clone()).or_default();
                sum.slices += slice;
                sum.per_s += heard.rates.get(name).copied().unwrap_or(0.0);
            }
        }
        for sum in tenants.values_mut() {
            // Rounded: it is sent to all doors.
            sum.per_s = (sum.per_s * 100.0).round() / 100.0;
            sum.slices = (sum.slices * 1000.0).round() / 1000.0;
        }
        let row = |heard: &Heard| DoorRow {
            ready: heard.row.ready && now.since(heard.made) < NAMED,
            ..heard.row.clone()
        };
        Ledger {
            version,
            doors: self.doors.values().map(row).collect(),
            counted: self.doors.len() as u32,
            tenants,
            offices: self.offices.keys().cloned().collect::<BTreeSet<_>>(),
        }
    }
}

/// The doors that a client is sent to: ready ones in its region, else any that are ready, else all.
pub fn resolved<'a>(ledger: &'a Ledger, region: &str, most: usize) -> Vec<&'a DoorRow> {
    let ready = || ledger.doors.iter().filter(|door| door.ready);
    let mut named: Vec<_> = ready().filter(|door| door.region == region).collect();
    if named.is_empty() {
        named = ready().collect();
    }
    if named.is_empty() {
        named = ledger.doors.iter().collect();
    }
    named.truncate(most);
    named
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: At = At(1_000_000_000);

    fn report(name: &str, life: u64, age_ms: u64, through: u64) -> Report {
        let row = DoorRow {
            name: name.to_owned(),
            address: "10.0.0.1:80".parse().expect("an address"),
            zone: "z".to_owned(),
            region: "r".to_owned(),
            ready: true,
        };
        let tenant = || "t".to_owned();
        let (let_through, slices) = ([(tenant(), through)].into(), [(tenant(), 0.5)].into());
        Report { door: row, life, age_ms, let_through, slices }
    }

    #[test]
    fn uses_are_summed_over_doors_and_a_silent_one_stays_counted_for_a_while() {
        let mut sums = Summing::default();
        let at = |ms| START.after(Duration::from_millis(ms));
        for second in 0..4u64 {
            sums.report(report("a", 1, 0, second * 10), at(second * 1000));
            sums.report(report("b", 1, 0, second * 5), at(second * 1000));
            // Told twice, the second time late: nothing is counted again.
            sums.report(report("b", 1, 400, second * 5), at(second * 1000 + 100));
        }
        let ledger = sums.ledger(Version::default(), at(3000));
        assert_eq!(ledger.tenants["t"], Use { per_s: 15.0, slices: 1.0 });
        sums.report(report("a", 1, 0, 100), at(7000));
        let ledger = sums.ledger(Version::default(), at(7000));
        assert_eq!((ledger.counted, ledger.doors[1].ready), (2, false), "b is counted and not named");
        assert_eq!(resolved(&ledger, "r", 64).len(), 1);
        assert_eq!(sums.reports(at(7000)).len(), 1);
        sums.report(report("a", 1, 0, 100), at(16000));
        assert_eq!(sums.ledger(Version::default(), at(16000)).counted, 1);
    }

    #[test]
    fn a_new_life_counts_from_nothing() {
        let mut sums = Summing::default();
        sums.report(report("a", 1, 0, 1000), START);
        sums.report(report("a", 2, 0, 3), START.after(Duration::from_secs(1)));
        sums.report(report("a", 2, 0, 13), START.after(Duration::from_secs(2)));
        assert_eq!(
            sums.ledger(Version::default(), START.after(Duration::from_secs(2))).tenants["t"].per_s,
            10.0
        );
    }
}
