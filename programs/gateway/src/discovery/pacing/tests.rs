use super::*;

const POLL_INTERVAL: Option<Ticks> = Some(Ticks(100_000));

/// The number of calls in the busiest second, made by a hundred gateways whose calls are all refused.
fn max_calls_per_s(mut pauses_of: impl FnMut(u64) -> Box<dyn FnMut() -> Duration>) -> usize {
    let mut calls_by_second = [0; 120];
    for gateway in 0..100 {
        let (mut pause, mut at) = (pauses_of(gateway), Duration::ZERO);
        while at.as_secs() < 120 {
            calls_by_second[at.as_secs() as usize] += 1;
            at += pause();
        }
    }
    calls_by_second[30..].iter().copied().max().unwrap_or_default()
}

#[test]
fn refused_gateways_call_less_often_and_not_simultaneously() {
    let fixed = max_calls_per_s(|_| Box::new(|| RETRY_PAUSE));
    let paced = max_calls_per_s(|gateway| {
        let mut pacing = DiscoveryPacing::new(POLL_INTERVAL, gateway);
        Box::new(move || pacing.pause_after_refusal())
    });
    assert!(fixed == 1000 && (1..=20).contains(&paced), "{fixed} and {paced}");
}

#[test]
fn an_answer_resets_the_pause_and_pauses_stay_in_bounds() {
    let mut pacing = DiscoveryPacing::new(POLL_INTERVAL, 7);
    let pauses: Vec<_> = (0..40).map(|_| pacing.pause_after_refusal()).collect();
    assert!(pauses.iter().all(|pause| (2..=20).contains(&pause.as_secs())), "{pauses:?}");
    assert!(pauses[39] >= Duration::from_secs(10), "{pauses:?}");
    pacing.record_success();
    assert!(pacing.pause_after_refusal() <= Duration::from_secs(4));
}

#[test]
fn long_polls_are_longer_and_spread_out_if_lists_are_sent_on_request() {
    let waits: Vec<_> =
        (0..100).map(|gateway| DiscoveryPacing::new(POLL_INTERVAL, gateway).long_poll_duration()).collect();
    assert!(waits.iter().all(|wait| (10..=20).contains(&wait.as_secs())), "{waits:?}");
    let same = waits.iter().filter(|wait| wait.as_secs() == waits[0].as_secs()).count();
    assert!(same < 30, "{same} of 100 long polls end in the same second");
    assert_eq!(DiscoveryPacing::new(None, 7).long_poll_duration(), MIN_LONG_POLL, "lists are pushed");
    assert_eq!(DiscoveryPacing::new(Some(Ticks(i64::MAX)), 7).long_poll_duration(), MAX_LONG_POLL);
}
