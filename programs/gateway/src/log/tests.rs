use super::*;

#[test]
fn lines_beyond_the_limit_are_omitted_and_counted_until_the_next_second() {
    let limit = LineLimit::default();
    let logged =
        |now: Ticks, attempts: u32| (0..attempts).filter_map(|_| limit.try_log(now)).collect::<Vec<_>>();
    assert_eq!(logged(Ticks::SECOND, MAX_LINES_PER_S - 1), [0; MAX_LINES_PER_S as usize - 1]);
    assert_eq!(logged(Ticks::SECOND + Ticks(1), 8), [0]);
    assert_eq!(logged(Ticks::SECOND.times(2.0), 2), [7, 0]);
}
