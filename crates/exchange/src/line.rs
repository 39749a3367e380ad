//! One connection to a backend, which carries one submission at a time: what each thing that happens to it proves of the
//! submission, and whether the connection may carry another.

use vanewharf_policy::interface::Outcome;

/// Why a submission is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CalledOff {
    TimedOut,
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Line {
    Dialling,
    /// The submission's bytes are on the way; `fresh` on a connection that has carried nothing before.
    Writing {
        fresh: bool,
    },
    /// The last byte is written.
    Waiting {
        fresh: bool,
    },
    Idle,
    Over,
}

/// What happens to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Happened {
    Up,
    /// It is refused, or does not come up in time.
    NotUp,
    /// No socket was left here to dial with: that tells nothing of the backend.
    Undialled,
    Written,
    /// It broke.
    Broke,
    /// What came is no answer.
    Garbled,
    /// A whole answer; `last` where the connection ends with it.
    Answered {
        outcome: Outcome,
        last: bool,
    },
    CalledOff(CalledOff),
    /// Another submission is given to it while idle.
    Given,
    /// Something came unasked, its end too, while idle.
    CameUnasked,
}

/// What becomes of the submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// Nothing yet.
    On,
    Ends(Outcome),
    /// It ended with nothing said: how long it had been idle before may be why.
    EndsSilently(Outcome),
    /// The connection went stale unseen and nothing has run: the same goes out on a new one.
    DialsAnew,
    /// That was not to happen here.
    Odd,
}

impl Line {
    /// A connection may be kept from before, for a submission that is given to it.
    pub fn begins(kept: bool) -> Line {
        if kept { Line::Writing { fresh: false } } else { Line::Dialling }
    }

    pub fn hears(self, what: Happened) -> (Line, Then) {
        use Happened::*;
        let over = |outcome| (Line::Over, Then::Ends(outcome));
        match (self, what) {
            (Line::Dialling, Up) => (Line::Writing { fresh: true }, Then::On),
            (Line::Dialling, NotUp) => over(Outcome::ConnectFailed),
            (Line::Dialling, Undialled) => over(Outcome::NotSent),
            (Line::Writing { fresh }, Written) => (Line::Waiting { fresh }, Then::On),
            (Line::Writing { fresh: true }, Broke) => over(Outcome::ConnectFailed),
            (Line::Writing { fresh: false }, Broke) => (Line::Dialling, Then::DialsAnew),
            (Line::Waiting { .. }, Broke) => (Line::Over, Then::EndsSilently(Outcome::ConnectionLost)),
            (Line::Waiting { .. }, Garbled) => over(Outcome::ConnectionLost),
            (Line::Waiting { .. }, Answered { outcome, last }) => {
                (if last { Line::Over } else { Line::Idle }, Then::Ends(outcome))
            }
            // Not all of it had gone out, so nothing can have run.
            (Line::Dialling | Line::Writing { .. }, CalledOff(self::CalledOff::TimedOut)) => {
                over(Outcome::ConnectFailed)
            }
            (Line::Waiting { .. }, CalledOff(self::CalledOff::TimedOut)) => over(Outcome::TimedOut),
            (
                Line::Dialling | Line::Writing { .. } | Line::Waiting { .. },
                CalledOff(self::CalledOff::Cancelled),
            ) => over(Outcome::Cancelled),
            (Line::Idle, Given) => (Line::Writing { fresh: false }, Then::On),
            (Line::Idle, CameUnasked) => (Line::Over, Then::On),
            (line, _) => (line, Then::Odd),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(kept: bool, what: &[Happened]) -> (Line, Then) {
        what.iter().fold((Line::begins(kept), Then::On), |(line, _), what| line.hears(*what))
    }

    #[test]
    fn what_is_proved_follows_from_what_was_written() {
        use Happened::*;
        let answered = |outcome, last| Answered { outcome, last };
        let (timed_out, cancelled) =
            (CalledOff(super::CalledOff::TimedOut), CalledOff(super::CalledOff::Cancelled));
        let cases: &[(bool, &[Happened], Line, Then)] = &[
            (false, &[NotUp], Line::Over, Then::Ends(Outcome::ConnectFailed)),
            (false, &[Undialled], Line::Over, Then::Ends(Outcome::NotSent)),
            (false, &[timed_out], Line::Over, Then::Ends(Outcome::ConnectFailed)),
            (false, &[Up, Broke], Line::Over, Then::Ends(Outcome::ConnectFailed)),
            (true, &[Broke], Line::Dialling, Then::DialsAnew),
            (true, &[Written, Broke], Line::Over, Then::EndsSilently(Outcome::ConnectionLost)),
            (false, &[Up, Written, timed_out], Line::Over, Then::Ends(Outcome::TimedOut)),
            (false, &[Up, Written, cancelled], Line::Over, Then::Ends(Outcome::Cancelled)),
            (false, &[Up, Written, Garbled], Line::Over, Then::Ends(Outcome::ConnectionLost)),
            (
                false,
                &[Up, Written, answered(Outcome::Succeeded, false)],
                Line::Idle,
                Then::Ends(Outcome::Succeeded),
            ),
            (
                false,
                &[Up, Written, answered(Outcome::Succeeded, true)],
                Line::Over,
                Then::Ends(Outcome::Succeeded),
            ),
            (
                false,
                &[Up, Written, answered(Outcome::Rejected, false)],
                Line::Idle,
                Then::Ends(Outcome::Rejected),
            ),
            (false, &[Up, Written, answered(Outcome::Error, false)], Line::Idle, Then::Ends(Outcome::Error)),
            (false, &[Up, answered(Outcome::Succeeded, false)], Line::Writing { fresh: true }, Then::Odd),
        ];
        for (kept, what, line, then) in cases {
            assert_eq!(after(*kept, what), (*line, *then), "{what:?}");
        }
        let idle = Line::Idle.hears(Given);
        assert_eq!(idle, (Line::Writing { fresh: false }, Then::On));
        assert_eq!(Line::Idle.hears(CameUnasked), (Line::Over, Then::On));
    }
}
