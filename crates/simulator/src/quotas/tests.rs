use super::*;
use crate::random::seconds;

#[test]
fn a_bucket_holds_its_burst_and_refills_at_its_rate() {
    let mut bucket = TokenBucket::new(2.0, 4.0, seconds(1.0));
    assert!(bucket.try_take(4.0, seconds(1.0)) && !bucket.try_take(1.0, seconds(1.0)));
    assert!(bucket.try_take(1.0, seconds(1.5)) && !bucket.try_take(1.0, seconds(1.5)));
    assert_eq!(bucket.refill(seconds(60.0)), 4.0);
    assert_eq!(bucket.overdraw(6.0, seconds(60.0)), 2.0);
}

#[test]
fn the_meter_reports_finished_periods_after_its_delay() {
    let text = "name = \"a\"\nlength_s = 20\nmeter = {period_s = 1, late_s = 0.5}\n[fleet]\ndoors = 2\nbackends = 2\n[[product]]\n\
        name = \"look\"\nshare = 1\nwork_ms = 20\nsla_ms = 400\nexpiry_ms = 1500\nrepeat = \"inquiry-like\"\n[[plan]]\n\
        name = \"basic\"\nshare = 1\nrate = 4\nburst = 8\n[load]\nof_capacity = 0.5\n";
    let experiment = Experiment::parse(text).expect("a valid experiment");
    let meter = experiment.meter.clone().expect("a meter");
    let mut quota = CustomerQuota::new(&experiment.plan[0], &experiment, Ticks(0));
    quota.record_usage(2.0, seconds(0.4), Some(&meter));
    let delay = seconds(0.5);
    assert_eq!(quota.metered_usage(seconds(1.2), delay, &meter), None);
    assert_eq!(quota.metered_usage(seconds(1.6), delay, &meter), Some(0.5));
    assert_eq!(
        quota.metered_usage(seconds(9.0), delay, &meter),
        Some(0.0),
        "a period without usage is reported as well"
    );
}
