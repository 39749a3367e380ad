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

/// Guards against an unreadable reply that counts as proof: only the counter's own error states that nothing was added.
#[test]
fn a_reply_that_cannot_be_read_does_not_prove_that_nothing_was_added() {
    let text = |text: &'static str| BytesFrame::BulkString(text.into());
    let unreadable = [text("12 units"), text(""), text("NaN"), BytesFrame::Null, BytesFrame::Array(vec![])];
    for reply in unreadable {
        assert_eq!(parse_reply(reply.clone()), CounterReply::Unknown, "{reply:?}");
    }
    for error in ["BUSY", "ERR unknown command"] {
        assert_eq!(parse_reply(BytesFrame::Error(error.into())), CounterReply::NotAdded);
    }
    assert_eq!(parse_reply(text(" 2.5 ")), CounterReply::Total(2.5));
    assert_eq!(parse_reply(BytesFrame::Integer(3)), CounterReply::Total(3.0));
}
