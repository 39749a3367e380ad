use super::*;

/// Returns the state and the last effect after a sequence of events on a reused or new connection.
fn state_after(reused: bool, events: &[ConnectionEvent]) -> (ConnectionState, AttemptEffect) {
    events.iter().fold((ConnectionState::for_attempt(reused), AttemptEffect::Pending), |(state, _), event| {
        state.on_event(*event)
    })
}

#[test]
fn outcome_depends_on_how_much_of_the_request_was_sent() {
    use ConnectionEvent::*;
    let replied = |outcome, close| Replied { outcome, close };
    let (timed_out, cancelled) =
        (Cancelled(super::CancelReason::TimedOut), Cancelled(super::CancelReason::Cancelled));
    let cases: &[(bool, &[ConnectionEvent], ConnectionState, AttemptEffect)] = &[
        (false, &[ConnectFailed], ConnectionState::Closed, AttemptEffect::Ended(Outcome::ConnectFailed)),
        (false, &[NoLocalSocket], ConnectionState::Closed, AttemptEffect::Ended(Outcome::NotSent)),
        (false, &[timed_out], ConnectionState::Closed, AttemptEffect::Ended(Outcome::ConnectFailed)),
        (false, &[Connected, Broken], ConnectionState::Closed, AttemptEffect::Ended(Outcome::ConnectFailed)),
        (true, &[Broken], ConnectionState::Dialling, AttemptEffect::Redial),
        (
            true,
            &[Sent, Broken],
            ConnectionState::Closed,
            AttemptEffect::EndedWithoutReply(Outcome::ConnectionLost),
        ),
        (
            false,
            &[Connected, Sent, timed_out],
            ConnectionState::Closed,
            AttemptEffect::Ended(Outcome::TimedOut),
        ),
        (
            false,
            &[Connected, Sent, cancelled],
            ConnectionState::Closed,
            AttemptEffect::Ended(Outcome::Cancelled),
        ),
        (
            false,
            &[Connected, Sent, MalformedReply],
            ConnectionState::Closed,
            AttemptEffect::Ended(Outcome::ConnectionLost),
        ),
        (
            false,
            &[Connected, Sent, replied(Outcome::Succeeded, false)],
            ConnectionState::Idle,
            AttemptEffect::Ended(Outcome::Succeeded),
        ),
        (
            false,
            &[Connected, Sent, replied(Outcome::Succeeded, true)],
            ConnectionState::Closed,
            AttemptEffect::Ended(Outcome::Succeeded),
        ),
        (
            false,
            &[Connected, Sent, replied(Outcome::Rejected, false)],
            ConnectionState::Idle,
            AttemptEffect::Ended(Outcome::Rejected),
        ),
        (
            false,
            &[Connected, Sent, replied(Outcome::Error, false)],
            ConnectionState::Idle,
            AttemptEffect::Ended(Outcome::Error),
        ),
        (
            false,
            &[Connected, replied(Outcome::Succeeded, false)],
            ConnectionState::Unsent { fresh: true },
            AttemptEffect::Unexpected,
        ),
    ];
    for (reused, events, state, effect) in cases {
        assert_eq!(state_after(*reused, events), (*state, *effect), "{events:?}");
    }
    let idle = ConnectionState::Idle.on_event(AttemptAssigned);
    assert_eq!(idle, (ConnectionState::Unsent { fresh: false }, AttemptEffect::Pending));
    assert_eq!(
        ConnectionState::Idle.on_event(UnsolicitedData),
        (ConnectionState::Closed, AttemptEffect::Pending)
    );
}

/// Guards against a promise for a request that ran: a backend may run a request of which it has received only a part.
#[test]
fn a_request_of_which_a_part_was_sent_may_have_run_however_its_attempt_ends() {
    use ConnectionEvent::*;
    let endings = [
        Broken,
        MalformedReply,
        Cancelled(super::CancelReason::TimedOut),
        Cancelled(super::CancelReason::Cancelled),
        Replied { outcome: Outcome::Succeeded, close: false },
        Replied { outcome: Outcome::Error, close: true },
    ];
    for (reused, before) in [(false, vec![Connected, PartSent]), (true, vec![PartSent])] {
        for ending in endings {
            let (_, effect) = state_after(reused, &[before.clone(), vec![ending]].concat());
            let outcome = match effect {
                AttemptEffect::Ended(outcome) | AttemptEffect::EndedWithoutReply(outcome) => outcome,
                other => panic!("{ending:?} after a part was sent: {other:?}"),
            };
            assert!(!outcome.never_ran(), "{ending:?} after a part was sent: {outcome:?}");
        }
    }
}

#[test]
fn an_early_reply_ends_the_attempt_and_the_rest_of_the_request_is_still_sent() {
    use ConnectionEvent::*;
    let replied = |outcome| Replied { outcome, close: false };
    let succeeded = state_after(false, &[Connected, PartSent, replied(Outcome::Succeeded)]);
    assert_eq!(succeeded, (ConnectionState::SendingRest, AttemptEffect::Ended(Outcome::Succeeded)));
    for end in [Sent, Broken] {
        assert_eq!(succeeded.0.on_event(end), (ConnectionState::Closed, AttemptEffect::Pending));
    }
    let rejected = state_after(false, &[Connected, PartSent, replied(Outcome::Rejected)]);
    assert_eq!(rejected, (ConnectionState::Closed, AttemptEffect::Ended(Outcome::Rejected)));
}
