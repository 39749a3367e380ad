//! Counters of events and of invariant violations since the process's start.
//!
//! The printed names are read by operators and their tools, so they stay the same when a name in the code changes.

use std::cell::Cell;
use std::fmt;

/// Declares an enum of counters and the name under which each is printed.
macro_rules! counted {
    ($(#[$doc:meta])* $kind:ident, $names:ident: $($(#[$variant_doc:meta])* $variant:ident $name:literal,)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub enum $kind { $($(#[$variant_doc])* $variant),* }

        const $names: &[&str] = &[$($name),*];
    };
}

counted!(
    /// A counted event.
    Counter, COUNTER_NAMES:
    /// A request was admitted.
    RequestsAdmitted "taken",
    /// A request was rejected or declined before it was routed.
    RequestsRejected "turned_back",
    /// A request was answered with a backend's reply.
    RequestsSucceeded "settled",
    /// A request was declined by the policy.
    RequestsDeclined "declined",
    /// A request was answered with an unknown outcome.
    RequestsOutcomeUnknown "voided",
    /// A client closed its connection before its request was answered.
    ClientsDisconnected "left",
    /// An attempt was made.
    Attempts "submissions",
    /// An attempt ended with a successful reply.
    AttemptsSucceeded "submissions_settled",
    /// An attempt ended with an error reply.
    AttemptsError "submissions_error",
    /// An attempt was rejected by the backend, which did not run the request.
    AttemptsRejected "submissions_turned_away",
    /// An attempt timed out.
    AttemptsTimedOut "submissions_timed_out",
    /// An attempt failed because no connection could be opened, or was lost before anything was sent.
    AttemptsConnectFailed "submissions_no_connection",
    /// An attempt's connection was lost after at least a part of the request was sent.
    AttemptsConnectionLost "submissions_broken",
    /// An attempt was cancelled by the policy.
    AttemptsCancelled "submissions_cancelled",
    /// An attempt ended with a reply that was received before its request was sent completely.
    RepliesReceivedEarly "submissions_answered_early",
    /// An attempt ended because what was received is not a valid reply to it.
    RepliesMalformed "submissions_malformed",
    /// An attempt was not made because its request had finished or no socket was left.
    AttemptsNotSent "submissions_moot",
    /// A client connection was accepted.
    ClientsAccepted "clients_accepted",
    /// An idle client connection was closed to free its socket.
    ClientsShed "clients_shed",
    /// A client connection was closed after its idle timeout.
    ClientsClosedIdle "clients_closed_idle",
    /// Accepting a client failed.
    AcceptFailed "accept_failed",
    /// Connecting to a backend was started.
    BackendDials "backends_dialled",
    /// No connection to a backend was opened because no socket was left.
    BackendDialsWithoutSocket "backends_undialled",
    /// An idle backend connection was reused.
    BackendConnectionsReused "backends_reused",
    /// An idle backend connection had been closed by the backend when it was to be reused.
    BackendConnectionsStale "backends_stale",
    /// An idle backend connection was closed after its idle limit, or had ended.
    BackendConnectionsDroppedIdle "backends_dropped_idle",
    /// The discovery agent returned a list or a change.
    DiscoveryLists "lists",
    /// A call to the discovery agent failed.
    DiscoveryFailures "list_failures",
    /// The platform's file was reloaded.
    Reloads "reloads",
    /// The platform's file could not be reloaded.
    ReloadFailures "reload_failures",
    /// A call to the shared quota counter was made.
    QuotaCounterCalls "counter_calls",
    /// The shared quota counter replied with a total.
    QuotaCounterTotals "counter_totals",
    /// The shared quota counter was not reachable or refused the call.
    QuotaCounterNotAdded "counter_not_added",
    /// It is not known whether the shared quota counter executed the call.
    QuotaCounterUnknown "counter_unknown",
    /// A message was sent to another gateway.
    PeerMessagesSent "peers_told",
    /// A message to another gateway could not be sent.
    PeerMessagesUnsent "peers_untold",
    /// A message from another gateway was received.
    PeerMessagesReceived "peers_heard",
    /// A datagram on the peer port was dropped.
    PeerMessagesDropped "peers_dropped",
);

counted!(
    /// A property that must always hold.
    Invariant, INVARIANT_NAMES:
    /// Each request has exactly one answer.
    AnsweredOnce "answered_once",
    /// Each request is answered by its expiry.
    AnsweredByExpiry "answered_by_expiry",
    /// A request that must run at most once is not run twice.
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

    /// The number of violations of any invariant.
    pub fn violations(&self) -> u64 {
        self.violations.iter().map(Cell::get).sum()
    }

    /// Counts and logs a violation of the invariant, unless it holds.
    ///
    /// # Panics
    ///
    /// In debug builds, if the invariant does not hold.
    pub fn check(&self, holds: bool, invariant: Invariant) {
        debug_assert!(holds, "invariant {invariant:?} violated");
        if !holds {
            increment(&self.violations[invariant as usize]);
            tracing::error!(?invariant, "invariant violated");
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
