use super::*;
use std::cell::RefCell;

const WAIT: Ticks = Ticks(800);

#[tokio::test(start_paused = true)]
async fn an_unreachable_counter_delays_no_call_beyond_one_timeout() {
    let (calls, taken) = mpsc::unbounded_channel();
    let told = RefCell::new(Vec::new());
    let began = Instant::now();
    for name in 0..5 {
        let call = Call { key: CounterKey(name), amount: 1.0, expire_after: Ticks::SECOND };
        assert!(calls.send(call).is_ok());
    }
    drop(calls);
    let tell = |name, counted| told.borrow_mut().push((name, counted, began.elapsed()));
    serve(std::future::pending, WAIT, taken, tell).await;
    let told = told.into_inner();
    assert_eq!(told.len(), 5, "{told:?}");
    for (no, (name, counted, took)) in told.iter().enumerate() {
        assert_eq!((*name, *counted), (CounterKey(no as u64), CounterReply::NotAdded));
        assert!(*took < to_duration(WAIT) + to_duration(WAIT).div_f64(2.0), "{told:?}");
    }
}
