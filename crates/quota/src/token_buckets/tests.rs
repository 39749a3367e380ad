use super::*;

const START: Timestamp = Timestamp(1_000_000_000);
const QUOTA: Quota = Quota { rate: 40.0, burst: 40.0 };

fn at(seconds: f64) -> Timestamp {
    START.after(Duration::from_secs_f64(seconds))
}

/// Simulates proxies that receive requests at the given rates. Summaries come each second, late by one; the proxies in
/// `cut_off` receive none, and nobody receives their reports. Returns when and where requests were admitted.
fn simulate(rates: &[f64], cut_off: &[usize], seconds: u64) -> Vec<(f64, usize)> {
    let mut proxies: Vec<_> =
        rates.iter().map(|_| TokenBuckets::new(20.0, InitialFill::Full, START)).collect();
    let (mut admitted, mut credit) = (Vec::new(), vec![0.0; rates.len()]);
    let (mut before, mut reported) = (vec![0; rates.len()], TenantUsage::default());
    for proxy in &mut proxies {
        proxy.apply_usage(rates.len() as u32, &BTreeMap::new(), |_| QUOTA, START);
    }
    for step in 0..seconds * 100 {
        let now = at(step as f64 / 100.0);
        for (no, proxy) in proxies.iter_mut().enumerate() {
            credit[no] += rates[no] / 100.0;
            while credit[no] >= 1.0 {
                credit[no] -= 1.0;
                if proxy.try_admit("t", QUOTA, now).is_ok() {
                    admitted.push((step as f64 / 100.0, no));
                }
            }
            proxy.shrink_when_cut_off(now);
        }
        if step % 100 == 99 {
            let usage = BTreeMap::from([("t".to_owned(), reported)]);
            let mut sum = TenantUsage::default();
            for (no, proxy) in proxies.iter_mut().enumerate() {
                if cut_off.contains(&no) && step > 300 {
                    continue;
                }
                let count = proxy.admitted_counts().get("t").copied().unwrap_or(0);
                sum.requests_per_s += (count - before[no]) as f64;
                before[no] = count;
                proxy.apply_usage(rates.len() as u32, &usage, |_| QUOTA, now);
                sum.quota_shares += proxy.quota_shares().get("t").copied().unwrap_or(0.0);
            }
            reported = sum;
        }
    }
    admitted
}

/// The most requests admitted in any five seconds.
fn max_in_five_seconds(admitted: &[(f64, usize)]) -> usize {
    let within = |from: f64| admitted.iter().filter(|(at, _)| (from..from + 5.0).contains(at)).count();
    admitted.iter().map(|(at, _)| within(*at)).max().unwrap_or(0)
}

#[test]
fn all_proxies_together_keep_the_quota_however_the_requests_come() {
    let bound = ((40.0 * 5.0 + 40.0) * 1.1 + 20.0) as usize;
    for rates in
        [[40.0; 8], [300.0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5], [80.0, 1.0, 40.0, 1.0, 9.0, 9.0, 0.0, 0.0]]
    {
        let admitted = simulate(&rates, &[], 40);
        assert!(
            max_in_five_seconds(&admitted) <= bound,
            "{} of {bound} for {rates:?}",
            max_in_five_seconds(&admitted)
        );
    }
}

#[test]
fn a_proxy_that_is_cut_off_does_not_break_the_quota() {
    let bound = ((40.0 * 5.0 + 40.0) * 1.1 + 20.0) as usize;
    let admitted = simulate(&[40.0; 8], &[2], 30);
    assert!(max_in_five_seconds(&admitted) <= bound, "{} of {bound}", max_in_five_seconds(&admitted));
}

#[test]
fn shares_follow_where_requests_come_in() {
    let admitted = simulate(&[32.0, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2], &[], 40);
    let late = admitted.iter().filter(|(at, no)| *at >= 30.0 && *no == 0).count();
    assert!(late >= 290, "{late} of 320 once the share has grown");
}

#[test]
fn a_restarted_proxy_has_only_what_has_refilled_since() {
    let mut proxy = TokenBuckets::new(20.0, InitialFill::Empty, START);
    proxy.apply_usage(8, &BTreeMap::new(), |_| QUOTA, START);
    let wait = proxy.try_admit("t", QUOTA, START).expect_err("nothing has refilled").retry_after;
    assert!(wait > Duration::ZERO && wait <= Duration::from_millis(200));
    assert!(proxy.try_admit("t", QUOTA, START.after(wait + Duration::from_millis(1))).is_ok());
    assert!(proxy.try_admit("free", Quota::UNLIMITED, START).is_ok(), "no limit");
}

/// A tenant with much traffic, ninety proxies, a lender that dies: what it leased in the five seconds before and what the
/// proxies admit by themselves afterwards stay within the rule together.
#[test]
fn fallback_buckets_add_little_to_what_a_dead_lender_had_leased() {
    let quota = Quota { rate: 60.0, burst: 60.0 };
    let mut lender = TokenBuckets::new(20.0, InitialFill::Full, START);
    lender.apply_usage(1, &BTreeMap::new(), |_| quota, START);
    let mut proxies = vec![TokenBuckets::new(20.0, InitialFill::Empty, START); 90];
    for proxy in &mut proxies {
        proxy.set_share_owner(ShareOwner::Controllers);
        proxy.apply_usage(90, &BTreeMap::new(), |_| quota, START);
    }
    let mut admitted = Vec::new();
    for step in 0..6000usize {
        let (now, seconds) = (at(step as f64 / 100.0), step as f64 / 100.0);
        let proxy = step * 7 % 90;
        // Little traffic for long, then much for five seconds; the lender is dead from the fiftieth on.
        if step % 10 == 0 || seconds >= 45.0 {
            let leased = if seconds < 50.0 {
                proxies[proxy].record_lender_answer(now);
                lender.lease_tokens("t", 2, quota, now)
            } else {
                u32::from(proxies[proxy].try_admit("t", quota, now).is_ok())
            };
            (0..leased).for_each(|_| admitted.push((seconds, proxy)));
        }
    }
    let bound = ((60.0 * 5.0 + 60.0) * 1.1 + 20.0) as usize;
    assert!(max_in_five_seconds(&admitted) <= bound, "{} of {bound}", max_in_five_seconds(&admitted));
    let by_fallback = admitted.iter().filter(|(at, _)| *at >= 50.0).count();
    assert!(by_fallback <= 70, "{by_fallback} in ten seconds alone, a tenth of the quota");
}

#[test]
fn a_request_that_was_never_forwarded_costs_nothing() {
    let mut proxy = TokenBuckets::new(0.0, InitialFill::Full, START);
    let small = Quota { rate: 2.0, burst: 16.0 };
    proxy.apply_usage(8, &BTreeMap::new(), |_| small, START);
    for _ in 0..20 {
        assert!(proxy.try_admit("s", small, START).is_ok());
        proxy.refund("s");
    }
    assert!(proxy.try_admit("s", small, START).is_ok() && proxy.try_admit("s", small, START).is_ok());
    assert!(proxy.try_admit("s", small, START).is_err());
}

#[test]
fn a_bucket_less_than_one_token_deep_admits_by_debt() {
    let mut proxy = TokenBuckets::new(0.0, InitialFill::Full, START);
    let small = Quota { rate: 2.0, burst: 2.0 };
    proxy.apply_usage(8, &BTreeMap::new(), |_| small, START);
    assert!(proxy.try_admit("s", small, START).is_ok());
    let wait = proxy.try_admit("s", small, START).expect_err("in debt").retry_after;
    assert!((wait.as_secs_f64() - 3.5).abs() < 0.1, "{wait:?}");
}
