use super::*;

const WITHIN: Option<Ticks> = Some(Ticks(100_000));

/// How many of a hundred gateways call in the busiest second, where each is turned away at every call.
fn busiest(mut next: impl FnMut(u64) -> Box<dyn FnMut() -> Duration>) -> usize {
    let mut seconds = [0; 120];
    for gateway in 0..100 {
        let (mut pause, mut at) = (next(gateway), Duration::ZERO);
        while at.as_secs() < 120 {
            seconds[at.as_secs() as usize] += 1;
            at += pause();
        }
    }
    seconds[30..].iter().copied().max().unwrap_or_default()
}

#[test]
fn refused_gateways_call_less_often_and_apart() {
    let fixed = busiest(|_| Box::new(|| PAUSE));
    let paced = busiest(|gateway| {
        let mut pacing = DiscoveryPacing::new(WITHIN, gateway);
        Box::new(move || pacing.pause_after_refusal())
    });
    assert!(fixed == 1000 && (1..=20).contains(&paced), "{fixed} and {paced}");
}

#[test]
fn an_answer_resets_the_pause_and_pauses_stay_in_bounds() {
    let mut pacing = DiscoveryPacing::new(WITHIN, 7);
    let pauses: Vec<_> = (0..40).map(|_| pacing.pause_after_refusal()).collect();
    assert!(pauses.iter().all(|pause| (2..=20).contains(&pause.as_secs())), "{pauses:?}");
    assert!(pauses[39] >= Duration::from_secs(10), "{pauses:?}");
    pacing.record_success();
    assert!(pacing.pause_after_refusal() <= Duration::from_secs(4));
}

#[test]
fn watches_are_longer_where_lists_cost_and_spread_out() {
    let waits: Vec<_> =
        (0..100).map(|gateway| DiscoveryPacing::new(WITHIN, gateway).watch_duration()).collect();
    assert!(waits.iter().all(|wait| (10..=20).contains(&wait.as_secs())), "{waits:?}");
    let same = waits.iter().filter(|wait| wait.as_secs() == waits[0].as_secs()).count();
    assert!(same < 30, "{same} of 100 end in one second");
    assert_eq!(DiscoveryPacing::new(None, 7).watch_duration(), PUSHED_WATCH, "pushed lists cost nothing");
    assert_eq!(DiscoveryPacing::new(Some(Ticks(i64::MAX)), 7).watch_duration(), MAX_WATCH);
}
