use super::*;

const START: Timestamp = Timestamp(1_000_000_000);

fn at(ms: u64) -> Timestamp {
    START.after(Duration::from_millis(ms))
}

#[test]
fn one_who_sends_steadily_waits_seldom_and_one_who_does_not_is_never_lent_ahead() {
    let (steady, seldom): (Rc<str>, Rc<str>) = (Rc::from("steady"), Rc::from("seldom"));
    let (mut reserve, mut under_way) = (TokenReserve::default(), None);
    let (mut waited, mut lent, mut requests) = (0, 0, 0);
    for ms in (0..10_000).step_by(10) {
        if let Some((due, tokens)) = under_way.filter(|(due, _)| *due <= ms) {
            let _: u64 = due;
            reserve.record_lease(&steady, tokens, at(ms));
            under_way = None;
        }
        if ms % 3_000 == 0 {
            reserve.record_request(&seldom, at(ms));
            assert!(!reserve.take_token(&seldom, at(ms)) && reserve.tokens_to_request(&seldom, at(ms)) == 0);
        }
        // Eight a second.
        if ms % 120 == 0 {
            requests += 1;
            reserve.record_request(&steady, at(ms));
            if !reserve.take_token(&steady, at(ms)) {
                (waited, lent) = (waited + 1, lent + 1);
            }
            let more = reserve.tokens_to_request(&steady, at(ms));
            if more > 0 {
                (under_way, lent) = (Some((ms + 70, more)), lent + more);
            }
        }
    }
    assert!(waited <= 8, "{waited} of {requests} waited");
    assert!(lent <= requests + 8, "{lent} lent for {requests}");
    reserve.drop_idle_tenants(at(40_000));
    assert!(reserve.purses.is_empty());
}

#[test]
fn a_token_is_good_for_a_second() {
    let (mut reserve, tenant): (_, Rc<str>) = (TokenReserve::default(), Rc::from("t"));
    reserve.add_tokens(&tenant, 2, START);
    assert!(reserve.take_token(&tenant, at(900)));
    assert!(!reserve.take_token(&tenant, at(1_000)), "the other one is too old");
}
