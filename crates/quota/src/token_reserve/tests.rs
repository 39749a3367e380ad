use super::*;

const START: Timestamp = Timestamp(1_000_000_000);

fn at(ms: u64) -> Timestamp {
    START.after(Duration::from_millis(ms))
}

#[test]
fn only_a_steady_tenant_is_leased_tokens_in_advance() {
    let (steady, occasional): (Rc<str>, Rc<str>) = (Rc::from("steady"), Rc::from("occasional"));
    let (mut reserve, mut pending_batch) = (TokenReserve::default(), None);
    let (mut waited, mut leased, mut requests) = (0, 0, 0);
    for ms in (0..10_000).step_by(10) {
        if let Some((due, tokens)) = pending_batch.filter(|(due, _)| *due <= ms) {
            let _: u64 = due;
            reserve.record_lease(&steady, tokens, at(ms));
            pending_batch = None;
        }
        if ms % 3_000 == 0 {
            reserve.record_request(&occasional, at(ms));
            assert!(
                !reserve.take_token(&occasional, at(ms))
                    && reserve.tokens_to_request(&occasional, at(ms)) == 0
            );
        }
        // About eight requests per second.
        if ms % 120 == 0 {
            requests += 1;
            reserve.record_request(&steady, at(ms));
            if !reserve.take_token(&steady, at(ms)) {
                (waited, leased) = (waited + 1, leased + 1);
            }
            let more = reserve.tokens_to_request(&steady, at(ms));
            if more > 0 {
                (pending_batch, leased) = (Some((ms + 70, more)), leased + more);
            }
        }
    }
    assert!(waited <= 8, "{waited} of {requests} requests waited for a token");
    assert!(leased <= requests + 8, "{leased} tokens leased for {requests} requests");
    reserve.drop_idle_tenants(at(40_000));
    assert!(reserve.tenants.is_empty());
}

#[test]
fn a_token_expires_after_a_second() {
    let (mut reserve, tenant): (_, Rc<str>) = (TokenReserve::default(), Rc::from("t"));
    reserve.add_tokens(&tenant, 2, START);
    assert!(reserve.take_token(&tenant, at(900)));
    assert!(!reserve.take_token(&tenant, at(1_000)), "the second token has expired");
}
