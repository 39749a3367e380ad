use super::*;

/// Returns the state and the last effect after a sequence of events on a reused or new connection.
fn state_after(reused: bool, events: &[ConnectionEvent]) -> (ConnectionState, AttemptEffect) {
    events.iter().fold((ConnectionState::for_attempt(reused), AttemptEffect::Pending), |(state, _), event| {
        state.on_event(*event)
    })
}

#[test]
fn outcome_depends_on_how_much_of_the_request_was_written() {
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
            &[Written, Broken],
            ConnectionState::Closed,
            AttemptEffect::EndedWithoutReply(Outcome::ConnectionLost),
        ),
        (
            false,
            &[Connected, Written, timed_out],
            ConnectionState::Closed,
            AttemptEffect::Ended(Outcome::TimedOut),
        ),
        (
            false,
            &[Connected, Written, cancelled],
            ConnectionState::Closed,
            AttemptEffect::Ended(Outcome::Cancelled),
        ),
        (
            false,
            &[Connected, Written, MalformedReply],
            ConnectionState::Closed,
            AttemptEffect::Ended(Outcome::ConnectionLost),
        ),
        (
            false,
            &[Connected, Written, replied(Outcome::Succeeded, false)],
            ConnectionState::Idle,
            AttemptEffect::Ended(Outcome::Succeeded),
        ),
        (
            false,
            &[Connected, Written, replied(Outcome::Succeeded, true)],
            ConnectionState::Closed,
            AttemptEffect::Ended(Outcome::Succeeded),
        ),
        (
            false,
            &[Connected, Written, replied(Outcome::Rejected, false)],
            ConnectionState::Idle,
            AttemptEffect::Ended(Outcome::Rejected),
        ),
        (
            false,
            &[Connected, Written, replied(Outcome::Error, false)],
            ConnectionState::Idle,
            AttemptEffect::Ended(Outcome::Error),
        ),
        (
            false,
            &[Connected, replied(Outcome::Succeeded, false)],
            ConnectionState::Writing { fresh: true },
            AttemptEffect::Unexpected,
        ),
    ];
    for (reused, events, state, effect) in cases {
        assert_eq!(state_after(*reused, events), (*state, *effect), "{events:?}");
    }
    let idle = ConnectionState::Idle.on_event(AttemptAssigned);
    assert_eq!(idle, (ConnectionState::Writing { fresh: false }, AttemptEffect::Pending));
    assert_eq!(
        ConnectionState::Idle.on_event(UnsolicitedData),
        (ConnectionState::Closed, AttemptEffect::Pending)
    );
}
