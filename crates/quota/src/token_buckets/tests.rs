use super::*;

const START: Timestamp = Timestamp(1_000_000_000);
const QUOTA: Quota = Quota { rate: 40.0, burst: 40.0 };

fn at(seconds: f64) -> Timestamp {
    START.after(Duration::from_secs_f64(seconds))
}

/// Steps per simulated second.
const STEPS_PER_S: u64 = 100;

/// One admitted request: the time in seconds since the start, and the proxy that admitted it.
struct Admission {
    seconds: f64,
    proxy: usize,
}

/// Proxies that receive requests at given rates. A fleet summary is published every second and is one second late.
struct Fleet {
    proxies: Vec<TokenBuckets>,
    /// Requests per second that each proxy receives.
    rates: Vec<f64>,
    /// The fraction of the next request at each proxy that is due.
    pending: Vec<f64>,
    /// Proxies that neither receive summaries nor send reports after the first three seconds.
    cut_off: Vec<usize>,
    /// The admitted requests in each proxy's last report.
    reported_counts: Vec<u64>,
    usage: TenantUsage,
    admissions: Vec<Admission>,
}

impl Fleet {
    fn new(rates: &[f64], cut_off: &[usize]) -> Fleet {
        let mut proxies = vec![TokenBuckets::new(20.0, InitialFill::Full, START); rates.len()];
        for proxy in &mut proxies {
            proxy.apply_usage(rates.len() as u32, &BTreeMap::new(), |_| QUOTA, START);
        }
        Fleet {
            proxies,
            rates: rates.to_vec(),
            pending: vec![0.0; rates.len()],
            cut_off: cut_off.to_vec(),
            reported_counts: vec![0; rates.len()],
            usage: TenantUsage::default(),
            admissions: Vec::new(),
        }
    }

    fn run(mut self, seconds: u64) -> Vec<Admission> {
        for step in 0..seconds * STEPS_PER_S {
            self.receive_requests(step as f64 / STEPS_PER_S as f64);
            if step % STEPS_PER_S == STEPS_PER_S - 1 {
                self.publish_summary(step);
            }
        }
        self.admissions
    }

    fn receive_requests(&mut self, seconds: f64) {
        let now = at(seconds);
        for (no, proxy) in self.proxies.iter_mut().enumerate() {
            self.pending[no] += self.rates[no] / STEPS_PER_S as f64;
            while self.pending[no] >= 1.0 {
                self.pending[no] -= 1.0;
                if proxy.try_admit("t", QUOTA, now).is_ok() {
                    self.admissions.push(Admission { seconds, proxy: no });
                }
            }
            proxy.shrink_when_cut_off(now);
        }
    }

    /// Delivers the previous summary to each proxy, and collects their reports for the next one.
    fn publish_summary(&mut self, step: u64) {
        let now = at(step as f64 / STEPS_PER_S as f64);
        let usage = BTreeMap::from([("t".to_owned(), self.usage)]);
        let divisor = self.proxies.len() as u32;
        let mut next = TenantUsage::default();
        for (no, proxy) in self.proxies.iter_mut().enumerate() {
            if self.cut_off.contains(&no) && step > 3 * STEPS_PER_S {
                continue;
            }
            let count = proxy.admitted_counts().get("t").copied().unwrap_or(0);
            next.requests_per_s += (count - self.reported_counts[no]) as f64;
            self.reported_counts[no] = count;
            proxy.apply_usage(divisor, &usage, |_| QUOTA, now);
            next.quota_shares += proxy.quota_shares().get("t").copied().unwrap_or(0.0);
        }
        self.usage = next;
    }
}

/// Returns the most requests admitted in any five seconds.
fn max_in_five_seconds(admissions: &[Admission]) -> usize {
    let within = |from: f64| {
        admissions.iter().filter(|admission| (from..from + 5.0).contains(&admission.seconds)).count()
    };
    admissions.iter().map(|admission| within(admission.seconds)).max().unwrap_or(0)
}

/// Returns the most requests allowed in five seconds: a tenth more than the quota, plus the allowance of 20 requests.
fn bound_in_five_seconds(quota: Quota) -> usize {
    ((quota.rate * 5.0 + quota.burst) * 1.1 + 20.0) as usize
}

#[test]
fn proxies_keep_the_quota_together() {
    let bound = bound_in_five_seconds(QUOTA);
    for rates in
        [[40.0; 8], [300.0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5], [80.0, 1.0, 40.0, 1.0, 9.0, 9.0, 0.0, 0.0]]
    {
        let most = max_in_five_seconds(&Fleet::new(&rates, &[]).run(40));
        assert!(most <= bound, "{most} requests in five seconds, bound {bound}, rates {rates:?}");
    }
}

#[test]
fn a_proxy_that_is_cut_off_does_not_break_the_quota() {
    let bound = bound_in_five_seconds(QUOTA);
    let most = max_in_five_seconds(&Fleet::new(&[40.0; 8], &[2]).run(30));
    assert!(most <= bound, "{most} requests in five seconds, bound {bound}");
}

#[test]
fn shares_follow_the_traffic() {
    let admissions = Fleet::new(&[32.0, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2], &[]).run(40);
    let is_late = |admission: &&Admission| admission.seconds >= 30.0 && admission.proxy == 0;
    let late = admissions.iter().filter(is_late).count();
    assert!(late >= 290, "{late} of 320 requests admitted after the share has grown");
}

#[test]
fn a_restarted_proxy_has_only_tokens_refilled_since_its_start() {
    let mut proxy = TokenBuckets::new(20.0, InitialFill::Empty, START);
    proxy.apply_usage(8, &BTreeMap::new(), |_| QUOTA, START);
    let wait = proxy.try_admit("t", QUOTA, START).expect_err("no token has been refilled").retry_after;
    assert!(wait > Duration::ZERO && wait <= Duration::from_millis(200));
    assert!(proxy.try_admit("t", QUOTA, START.after(wait + Duration::from_millis(1))).is_ok());
    assert!(proxy.try_admit("free", Quota::UNLIMITED, START).is_ok(), "a tenant without a limit");
}

/// 90 proxies serve a tenant with much traffic, and the controller that leases the tokens fails. The tokens that it leased
/// in the last five seconds and the requests that the proxies admit by fallback afterwards stay within the bound together.
#[test]
fn fallback_buckets_stay_within_the_bound_after_the_controller_fails() {
    let quota = Quota { rate: 60.0, burst: 60.0 };
    let mut controller = TokenBuckets::new(20.0, InitialFill::Full, START);
    controller.apply_usage(1, &BTreeMap::new(), |_| quota, START);
    let mut proxies = vec![TokenBuckets::new(20.0, InitialFill::Empty, START); 90];
    for proxy in &mut proxies {
        proxy.set_share_owner(ShareOwner::Controllers);
        proxy.apply_usage(90, &BTreeMap::new(), |_| quota, START);
    }
    let mut admissions = Vec::new();
    for step in 0..6000usize {
        let seconds = step as f64 / STEPS_PER_S as f64;
        let now = at(seconds);
        let proxy = step * 7 % 90;
        // Traffic is low for 45 s and high afterwards; the controller fails at 50 s.
        if step % 10 == 0 || seconds >= 45.0 {
            let leased = if seconds < 50.0 {
                proxies[proxy].record_lender_answer(now);
                controller.lease_tokens("t", 2, quota, now)
            } else {
                u32::from(proxies[proxy].try_admit("t", quota, now).is_ok())
            };
            admissions.extend((0..leased).map(|_| Admission { seconds, proxy }));
        }
    }
    let (most, bound) = (max_in_five_seconds(&admissions), bound_in_five_seconds(quota));
    assert!(most <= bound, "{most} requests in five seconds, bound {bound}");
    let by_fallback = admissions.iter().filter(|admission| admission.seconds >= 50.0).count();
    assert!(
        by_fallback <= 70,
        "{by_fallback} admitted by fallback in ten seconds, which is more than a tenth of the quota"
    );
}

#[test]
fn a_refunded_request_costs_nothing() {
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
