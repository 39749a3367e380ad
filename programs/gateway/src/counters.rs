//! What the process has counted since its start, and the invariants that were found violated.
//!
//! The names that counters are printed under are read by operators and their tools; they outlive the names in the code.

use std::cell::Cell;
use std::fmt;

/// Declares an enum of things that are counted, with the name that each is printed under.
macro_rules! counted {
    ($(#[$doc:meta])* $kind:ident, $names:ident: $($(#[$variant_doc:meta])* $variant:ident $name:literal,)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub enum $kind { $($(#[$variant_doc])* $variant),* }

        const $names: &[&str] = &[$($name),*];
    };
}

counted!(
    /// An event that is counted.
    Counter, COUNTER_NAMES:
    /// A request was admitted.
    RequestsAdmitted "taken",
    /// A request was rejected or declined before any routing decision.
    RequestsRejected "turned_back",
    /// A request was answered with a backend's reply.
    RequestsSucceeded "settled",
    /// A request was declined by the policy.
    RequestsDeclined "declined",
    /// A request was answered without its outcome being known.
    RequestsOutcomeUnknown "voided",
    /// A client closed its connection before it was answered.
    ClientsLeft "left",
    /// An attempt was made.
    Attempts "submissions",
    /// An attempt ended with a good reply.
    AttemptsSucceeded "submissions_settled",
    /// An attempt ended with a reply that is an error.
    AttemptsError "submissions_error",
    /// An attempt was refused by the backend before it ran.
    AttemptsRejected "submissions_turned_away",
    /// An attempt ran out of time.
    AttemptsTimedOut "submissions_timed_out",
    /// An attempt got no connection.
    AttemptsConnectFailed "submissions_no_connection",
    /// An attempt's connection broke after the request was written.
    AttemptsConnectionLost "submissions_broken",
    /// An attempt was cancelled by the policy.
    AttemptsCancelled "submissions_cancelled",
    /// An attempt was not made: its request was over, or no socket was left.
    AttemptsNotSent "submissions_moot",
    /// A client connection was accepted.
    ClientsAccepted "clients_accepted",
    /// An idle client connection was closed to free its socket.
    ClientsShed "clients_shed",
    /// A client connection was closed after its idle timeout.
    ClientsClosedIdle "clients_closed_idle",
    /// The system failed to accept a client.
    AcceptFailed "accept_failed",
    /// A connection to a backend was begun.
    BackendsDialled "backends_dialled",
    /// A connection to a backend was not begun for want of a socket.
    BackendsUndialled "backends_undialled",
    /// An idle backend connection was reused.
    BackendsReused "backends_reused",
    /// An idle backend connection proved to be closed when it was reused.
    BackendsStale "backends_stale",
    /// An idle backend connection was closed for its age.
    BackendsDroppedIdle "backends_dropped_idle",
    /// Discovery gave a list or a change.
    Lists "lists",
    /// A call to discovery failed.
    ListFailures "list_failures",
    /// The platform's file was reloaded.
    Reloads "reloads",
    /// The platform's file could not be reloaded.
    ReloadFailures "reload_failures",
    /// A call to the shared quota counter was made.
    QuotaCounterCalls "counter_calls",
    /// The shared quota counter answered with a total.
    QuotaCounterTotals "counter_totals",
    /// The shared quota counter was not reached or refused the call.
    QuotaCounterNotAdded "counter_not_added",
    /// It is not known whether the shared quota counter executed the call.
    QuotaCounterUnknown "counter_unknown",
    /// A message was sent to another gateway.
    PeerMessagesSent "peers_told",
    /// A message to another gateway could not be sent.
    PeerMessagesUnsent "peers_untold",
    /// A message of another gateway was received.
    PeerMessagesReceived "peers_heard",
    /// A datagram on the peer port was dropped.
    PeerMessagesDropped "peers_dropped",
);

counted!(
    /// What must always hold.
    Invariant, INVARIANT_NAMES:
    /// Each request has exactly one answer.
    AnsweredOnce "answered_once",
    /// Each request is answered by its expiry.
    AnsweredByExpiry "answered_by_expiry",
    /// A request that must run once only is not run twice.
    NoEffectTwice "no_effect_twice",
    /// Attempts go to listed backends only.
    OnlyToListed "only_to_listed",
    /// Each attempt ends exactly once.
    EndedOnce "ended_once",
    /// No more sockets are open than the configuration permits.
    WithinSockets "within_sockets",
);

/// All counters of the process.
pub struct Counters {
    counts: [Cell<u64>; COUNTER_NAMES.len()],
    violations: [Cell<u64>; INVARIANT_NAMES.len()],
}

impl Default for Counters {
    fn default() -> Counters {
        Counters {
            counts: [const { Cell::new(0) }; COUNTER_NAMES.len()],
            violations: [const { Cell::new(0) }; INVARIANT_NAMES.len()],
        }
    }
}

impl Counters {
    /// Counts one event.
    pub fn increment(&self, counter: Counter) {
        increment(&self.counts[counter as usize]);
    }

    /// How often any invariant was found violated.
    pub fn violations(&self) -> u64 {
        self.violations.iter().map(Cell::get).sum()
    }

    /// Counts and logs a violated invariant.
    ///
    /// # Panics
    ///
    /// In debug builds, where the invariant does not hold.
    pub fn check(&self, holds: bool, invariant: Invariant) {
        debug_assert!(holds, "{invariant:?} does not hold");
        if !holds {
            increment(&self.violations[invariant as usize]);
            tracing::error!(?invariant, "does not hold");
        }
    }
}

fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, cell) in COUNTER_NAMES.iter().zip(&self.counts) {
            write!(f, "{name}={} ", cell.get())?;
        }
        for (name, cell) in INVARIANT_NAMES.iter().zip(&self.violations) {
            write!(f, "broken_{name}={} ", cell.get())?;
        }
        Ok(())
    }
}
