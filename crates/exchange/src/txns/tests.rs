use super::*;

const TXN: TxnId = TxnId(1);
const FIRST_ATTEMPT: AttemptNumber = AttemptNumber(0);

fn txns(idempotency: Idempotency) -> Txns<&'static str, &'static str> {
    let mut txns = Txns::default();
    txns.insert(TXN, idempotency, Ticks(100), "answer");
    txns
}

fn start_attempt(txns: &mut Txns<&'static str, &'static str>, now: i64) -> AttemptStart {
    let started = txns.start_attempt(TXN, BackendId(7), None, Ticks(now));
    if let AttemptStart::Started { number, .. } = started {
        txns.set_canceller(TXN, number, "cancel");
    }
    started
}

#[test]
fn a_txn_has_one_answer_and_is_removed_when_no_attempt_is_in_flight() {
    let mut txns = txns(Idempotency::Idempotent);
    assert_eq!(
        start_attempt(&mut txns, 10),
        AttemptStart::Started { number: FIRST_ATTEMPT, deadline: Ticks(100), permitted: true }
    );
    start_attempt(&mut txns, 12);
    let ended = txns
        .record_end(TXN, FIRST_ATTEMPT, Outcome::Succeeded, Ticks(30))
        .expect("the attempt was in flight");
    assert_eq!((ended.answer, ended.complete, ended.latency), (Some("answer"), true, Ticks(20)));
    assert_eq!(txns.take_answer(TXN), None, "the request is already answered");
    assert_eq!(txns.remove_finished(), [], "the other attempt is still in flight");
    let other = txns
        .record_end(TXN, AttemptNumber(1), Outcome::Succeeded, Ticks(40))
        .expect("the attempt was in flight");
    assert_eq!((other.answer, other.complete), (None, true));
    assert_eq!(txns.remove_finished(), [TXN]);
    assert_eq!(
        txns.record_end(TXN, FIRST_ATTEMPT, Outcome::Succeeded, Ticks(50)),
        Err(UnexpectedEnd::UnknownAttempt)
    );
    assert!(txns.is_empty());
}

#[test]
fn an_answered_or_expired_txn_starts_no_attempt() {
    let mut txns = txns(Idempotency::Idempotent);
    assert_eq!(
        start_attempt(&mut txns, 100),
        AttemptStart::NotSent { number: FIRST_ATTEMPT, complete: false }
    );
    assert!(txns.record_client_disconnect(TXN) && !txns.record_client_disconnect(TXN));
    assert_eq!(
        start_attempt(&mut txns, 20),
        AttemptStart::NotSent { number: AttemptNumber(1), complete: true }
    );
    assert_eq!(txns.start_attempt(TxnId(9), BackendId(7), None, Ticks(0)), AttemptStart::UnknownTxn);
}

#[test]
fn a_non_idempotent_txn_is_retried_only_if_nothing_may_have_run() {
    let mut txns = txns(Idempotency::NonIdempotent);
    assert!(txns.is_retry_safe(TXN));
    start_attempt(&mut txns, 10);
    assert!(!txns.is_retry_safe(TXN), "the attempt may be executed at any moment");
    assert!(matches!(start_attempt(&mut txns, 11), AttemptStart::Started { permitted: false, .. }));
    for number in [0, 1] {
        txns.record_end(TXN, AttemptNumber(number), Outcome::Rejected, Ticks(20))
            .expect("the attempt was in flight");
    }
    assert!(txns.is_retry_safe(TXN));
    assert!(matches!(start_attempt(&mut txns, 21), AttemptStart::Started { permitted: true, .. }));
}

#[test]
fn expiry_cancels_attempts_once_and_reports_an_overdue_txn() {
    let mut txns = txns(Idempotency::Idempotent);
    assert_eq!(txns.expiry_action(TXN), ExpiryAction::Overdue);
    start_attempt(&mut txns, 10);
    assert_eq!(txns.expiry_action(TXN), ExpiryAction::CancelAttempts(vec![FIRST_ATTEMPT]));
    assert_eq!(
        (txns.take_canceller(TXN, FIRST_ATTEMPT), txns.take_canceller(TXN, FIRST_ATTEMPT)),
        (Some("cancel"), None)
    );
    txns.record_end(TXN, FIRST_ATTEMPT, Outcome::TimedOut, Ticks(100)).expect("the attempt was in flight");
    assert_eq!(
        txns.record_end(TXN, FIRST_ATTEMPT, Outcome::Succeeded, Ticks(101)),
        Err(UnexpectedEnd::AlreadyEnded)
    );
    assert!(txns.take_answer(TXN).is_some());
    assert_eq!(txns.expiry_action(TXN), ExpiryAction::Nothing);
    assert_eq!(txns.expiry_action(TxnId(5)), ExpiryAction::Nothing);
}

#[test]
fn an_attempt_timeout_is_capped_by_the_deadline() {
    let mut txns = txns(Idempotency::Idempotent);
    let start_with_timeout = |txns: &mut Txns<_, &str>, timeout| {
        txns.start_attempt(TXN, BackendId(7), Some(Ticks(timeout)), Ticks(10))
    };
    assert!(matches!(start_with_timeout(&mut txns, 20), AttemptStart::Started { deadline: Ticks(30), .. }));
    assert!(matches!(start_with_timeout(&mut txns, 500), AttemptStart::Started { deadline: Ticks(100), .. }));
}
