use super::*;

const START: Timestamp = Timestamp(1_000_000_000);
const QUOTA: Quota = Quota { rate: 40.0, burst: 40.0 };

fn at(seconds: f64) -> Timestamp {
    START.after(Duration::from_secs_f64(seconds))
}

/// Doors that are asked at the given rates; ledgers come each second, late by one; those of `cut` hear nothing and
/// nobody hears of them.
fn played(rates: &[f64], cut: &[usize], seconds: u64) -> Vec<(f64, usize)> {
    let mut doors: Vec<_> = rates.iter().map(|_| TokenBuckets::new(20.0, true, START)).collect();
    let (mut let_in, mut credit) = (Vec::new(), vec![0.0; rates.len()]);
    let (mut before, mut reported) = (vec![0; rates.len()], TenantUsage::default());
    for door in &mut doors {
        door.apply_usage(rates.len() as u32, &BTreeMap::new(), |_| QUOTA, START);
    }
    for step in 0..seconds * 100 {
        let now = at(step as f64 / 100.0);
        for (no, door) in doors.iter_mut().enumerate() {
            credit[no] += rates[no] / 100.0;
            while credit[no] >= 1.0 {
                credit[no] -= 1.0;
                if door.try_admit("t", QUOTA, now).is_ok() {
                    let_in.push((step as f64 / 100.0, no));
                }
            }
            door.shrink_when_cut_off(now);
        }
        if step % 100 == 99 {
            let uses = BTreeMap::from([("t".to_owned(), reported)]);
            let mut sum = TenantUsage::default();
            for (no, door) in doors.iter_mut().enumerate() {
                if cut.contains(&no) && step > 300 {
                    continue;
                }
                let through = door.admitted_counts().get("t").copied().unwrap_or(0);
                sum.requests_per_s += (through - before[no]) as f64;
                before[no] = through;
                door.apply_usage(rates.len() as u32, &uses, |_| QUOTA, now);
                sum.quota_shares += door.slices().get("t").copied().unwrap_or(0.0);
            }
            reported = sum;
        }
    }
    let_in
}

/// The most in any five seconds.
fn most(let_in: &[(f64, usize)]) -> usize {
    let within = |from: f64| let_in.iter().filter(|(at, _)| (from..from + 5.0).contains(at)).count();
    let_in.iter().map(|(at, _)| within(*at)).max().unwrap_or(0)
}

#[test]
fn all_doors_together_keep_the_quota_however_the_requests_come() {
    let bound = ((40.0 * 5.0 + 40.0) * 1.1 + 20.0) as usize;
    for rates in
        [[40.0; 8], [300.0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5], [80.0, 1.0, 40.0, 1.0, 9.0, 9.0, 0.0, 0.0]]
    {
        let let_in = played(&rates, &[], 40);
        assert!(most(&let_in) <= bound, "{} of {bound} for {rates:?}", most(&let_in));
    }
}

#[test]
fn a_door_that_is_cut_off_does_not_break_the_quota() {
    let bound = ((40.0 * 5.0 + 40.0) * 1.1 + 20.0) as usize;
    let let_in = played(&[40.0; 8], &[2], 30);
    assert!(most(&let_in) <= bound, "{} of {bound}", most(&let_in));
}

#[test]
fn slices_follow_where_requests_come_in() {
    let let_in = played(&[32.0, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2], &[], 40);
    let late = let_in.iter().filter(|(at, no)| *at >= 30.0 && *no == 0).count();
    assert!(late >= 290, "{late} of 320 once the slice has come");
}

#[test]
fn a_restarted_door_has_only_what_has_refilled_since() {
    let mut door = TokenBuckets::new(20.0, false, START);
    door.apply_usage(8, &BTreeMap::new(), |_| QUOTA, START);
    let wait = door.try_admit("t", QUOTA, START).expect_err("nothing has refilled");
    assert!(wait > Duration::ZERO && wait <= Duration::from_millis(200));
    assert!(door.try_admit("t", QUOTA, START.after(wait + Duration::from_millis(1))).is_ok());
    assert!(door.try_admit("free", Quota { rate: 0.0, burst: 0.0 }, START).is_ok(), "no limit");
}

/// A hot tenant, ninety doors, a lender that dies: what it lent in the five seconds before and what the doors let in by
/// themselves after stay within the rule together.
#[test]
fn doors_own_reserves_add_little_to_what_a_dead_lender_had_lent() {
    let quota = Quota { rate: 60.0, burst: 60.0 };
    let mut lender = TokenBuckets::new(20.0, true, START);
    lender.apply_usage(1, &BTreeMap::new(), |_| quota, START);
    let mut doors = vec![TokenBuckets::new(20.0, false, START); 90];
    for door in &mut doors {
        door.set_token_leasing(true);
        door.apply_usage(90, &BTreeMap::new(), |_| quota, START);
    }
    let mut let_in = Vec::new();
    for step in 0..6000usize {
        let (now, seconds) = (at(step as f64 / 100.0), step as f64 / 100.0);
        let door = step * 7 % 90;
        // Calm for long, then hot for five seconds; dead from the fiftieth on.
        if step % 10 == 0 || seconds >= 45.0 {
            let lent = if seconds < 50.0 {
                doors[door].record_lender_answer(now);
                lender.lease_tokens("t", 2, quota, now)
            } else {
                u32::from(doors[door].try_admit("t", quota, now).is_ok())
            };
            (0..lent).for_each(|_| let_in.push((seconds, door)));
        }
    }
    let bound = ((60.0 * 5.0 + 60.0) * 1.1 + 20.0) as usize;
    assert!(most(&let_in) <= bound, "{} of {bound}", most(&let_in));
    let alone = let_in.iter().filter(|(at, _)| *at >= 50.0).count();
    assert!(alone <= 70, "{alone} in ten seconds alone, a tenth of the quota");
}

#[test]
fn what_was_never_sent_on_costs_nothing() {
    let mut door = TokenBuckets::new(0.0, true, START);
    let small = Quota { rate: 2.0, burst: 16.0 };
    door.apply_usage(8, &BTreeMap::new(), |_| small, START);
    for _ in 0..20 {
        assert!(door.try_admit("s", small, START).is_ok());
        door.refund("s");
    }
    assert!(door.try_admit("s", small, START).is_ok() && door.try_admit("s", small, START).is_ok());
    assert!(door.try_admit("s", small, START).is_err());
}

#[test]
fn a_slice_below_one_request_lets_it_in_by_debt() {
    let mut door = TokenBuckets::new(0.0, true, START);
    let small = Quota { rate: 2.0, burst: 2.0 };
    door.apply_usage(8, &BTreeMap::new(), |_| small, START);
    assert!(door.try_admit("s", small, START).is_ok());
    let wait = door.try_admit("s", small, START).expect_err("in debt");
    assert!((wait.as_secs_f64() - 3.5).abs() < 0.1, "{wait:?}");
}
