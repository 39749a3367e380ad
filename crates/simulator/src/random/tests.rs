use super::*;

#[test]
fn streams_of_one_seed_differ_and_are_reproducible() {
    let first = |stream| RandomStream::new(7, stream).unit();
    assert_eq!(first(Stream::Net), first(Stream::Net));
    assert_ne!(first(Stream::Net), first(Stream::Work));
}

#[test]
fn draws_have_the_requested_mean() {
    let mut draw = RandomStream::new(1, Stream::Work);
    let mean = |of: &mut dyn FnMut() -> f64| (0..40_000).map(|_| of()).sum::<f64>() / 40_000.0;
    let lognormal = mean(&mut || draw.lognormal(20.0, 0.8));
    assert!((19.4..20.6).contains(&lognormal), "{lognormal}");
    let gap = mean(&mut || draw.interarrival_s(4.0));
    assert!((0.245..0.255).contains(&gap), "{gap}");
    let mut sample = draw.sample(5, 9);
    sample.sort_unstable();
    sample.dedup();
    assert_eq!(sample.len(), 5);
}
