use super::*;
use std::cell::RefCell;

const CALL_TIMEOUT: Ticks = Ticks(800);

#[tokio::test(start_paused = true)]
async fn an_unreachable_counter_delays_no_call_beyond_one_timeout() {
    let (calls, received) = mpsc::unbounded_channel();
    let reported = RefCell::new(Vec::new());
    let started = Instant::now();
    for key in 0..5 {
        let call = Call { key: CounterKey(key), amount: 1.0, expire_after: Ticks::SECOND };
        assert!(calls.send(call).is_ok());
    }
    drop(calls);
    let report = |key, reply| reported.borrow_mut().push((key, reply, started.elapsed()));
    serve(std::future::pending, CALL_TIMEOUT, received, report).await;
    let reported = reported.into_inner();
    assert_eq!(reported.len(), 5, "{reported:?}");
    for (number, (key, reply, took)) in reported.iter().enumerate() {
        assert_eq!((*key, *reply), (CounterKey(number as u64), CounterReply::NotAdded));
        assert!(*took < to_duration(CALL_TIMEOUT) + to_duration(CALL_TIMEOUT).div_f64(2.0), "{reported:?}");
    }
}
