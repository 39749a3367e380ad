//! What the door counts, what it holds, and what must hold.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// A kind of thing that is counted, and the names it is printed under.
macro_rules! kinds {
    ($kind:ident, $names:ident: $($one:ident $name:literal,)*) => {
        #[derive(Clone, Copy, Debug)]
        pub enum $kind { $($one),* }

        const $names: &[&str] = &[$($name),*];
    };
}

kinds!(Count, COUNTS:
    Taken "taken",
    TurnedBack "turned_back",
    Settled "settled",
    Declined "declined",
    Voided "voided",
    Left "left",
    Submissions "submissions",
    SubmissionsSettled "submissions_settled",
    SubmissionsError "submissions_error",
    SubmissionsTurnedAway "submissions_turned_away",
    SubmissionsTimedOut "submissions_timed_out",
    SubmissionsNoConnection "submissions_no_connection",
    SubmissionsBroken "submissions_broken",
    SubmissionsCancelled "submissions_cancelled",
    SubmissionsMoot "submissions_moot",
    ClientsAccepted "clients_accepted",
    ClientsShed "clients_shed",
    ClientsClosedIdle "clients_closed_idle",
    AcceptFailed "accept_failed",
    BackendsDialled "backends_dialled",
    BackendsUndialled "backends_undialled",
    BackendsReused "backends_reused",
    BackendsStale "backends_stale",
    BackendsDroppedIdle "backends_dropped_idle",
    Lists "lists",
    ListFailures "list_failures",
    Reloads "reloads",
    ReloadFailures "reload_failures",
    CounterCalls "counter_calls",
    CounterTotals "counter_totals",
    CounterNotAdded "counter_not_added",
    CounterUnknown "counter_unknown",
    PeersTold "peers_told",
    PeersUntold "peers_untold",
    PeersHeard "peers_heard",
    PeersDropped "peers_dropped",
);

kinds!(Invariant, INVARIANTS:
    AnsweredOnce "answered_once",
    AnsweredByExpiry "answered_by_expiry",
    NoEffectTwice "no_effect_twice",
    OnlyToListed "only_to_listed",
    EndedOnce "ended_once",
    WithinSockets "within_sockets",
);

/// What a connection's buffers may keep when idle, and hold when memory is short.
pub const SMALL: usize = 16 * 1024;

/// What the door may hold, a reserve taken off each.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Descriptors of any kind.
    pub most: usize,
    /// Dialling goes on up to here.
    pub sockets: usize,
    /// From here on idle connections are shed.
    pub crowded: usize,
    /// From here on no client is accepted.
    pub full: usize,
    pub bytes: usize,
}

impl Room {
    /// Some descriptors are the runtime's own, and dialling needs some when clients have taken all
    /// they may.
    pub fn within(sockets: usize, memory_mb: usize) -> Room {
        let own = 16;
        let usable = sockets.saturating_sub(own).max(8);
        Room {
            most: sockets,
            sockets: usable,
            crowded: usable * 3 / 4,
            full: usable * 7 / 8,
            bytes: memory_mb.max(8).saturating_mul(1 << 20) / 2,
        }
    }
}

pub struct Book {
    counts: [Cell<u64>; COUNTS.len()],
    broken: [Cell<u64>; INVARIANTS.len()],
    room: Room,
    sockets: Cell<usize>,
    bytes: Cell<usize>,
    clients: Cell<usize>,
    idle: Cell<usize>,
    draining: Cell<bool>,
    /// A socket was closed.
    pub freed: Notify,
    /// Wakes the client connection that has been idle longest, or all of them.
    pub idle_clients: Notify,
}

/// A client connection with no request begun, for as long as this lives.
pub struct Idling<'a>(&'a Cell<usize>);

impl Drop for Idling<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Book {
    pub fn new(room: Room) -> Book {
        Book {
            counts: [const { Cell::new(0) }; COUNTS.len()],
            broken: [const { Cell::new(0) }; INVARIANTS.len()],
            room,
            sockets: Cell::new(0),
            bytes: Cell::new(0),
            clients: Cell::new(0),
            idle: Cell::new(0),
            draining: Cell::new(false),
            freed: Notify::new(),
            idle_clients: Notify::new(),
        }
    }

    pub fn count(&self, what: Count) {
        let cell = &self.counts[what as usize];
        cell.set(cell.get() + 1);
    }

    /// Asserted in debug builds, counted in release builds.
    pub fn must(&self, holds: bool, what: Invariant) {
        debug_assert!(holds, "{what:?} does not hold");
        if !holds {
            let cell = &self.broken[what as usize];
            cell.set(cell.get() + 1);
            tracing::error!(invariant = ?what, "does not hold");
        }
    }

    pub fn crowded(&self) -> bool {
        self.sockets.get() >= self.room.crowded || self.heavy()
    }

    pub fn full(&self) -> bool {
        self.sockets.get() >= self.room.full || self.heavy()
    }

    pub fn may_dial(&self) -> bool {
        self.sockets.get() < self.room.sockets
    }

    pub fn heavy(&self) -> bool {
        self.bytes.get() >= self.room.bytes
    }

    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    pub fn idle(&self) -> Idling<'_> {
        self.idle.set(self.idle.get() + 1);
        Idling(&self.idle)
    }

    /// Closes the client connection that has been idle longest, if there is one.
    pub fn shed_client(&self) -> bool {
        let any = self.idle.get() > 0;
        if any {
            self.idle_clients.notify_one();
        }
        any
    }

    pub fn draining(&self) -> bool {
        self.draining.get()
    }

    pub fn drain(&self) {
        self.draining.set(true);
        self.idle_clients.notify_waiters();
    }
}

impl fmt::Display for Book {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, cell) in COUNTS.iter().zip(&self.counts) {
            write!(f, "{name}={} ", cell.get())?;
        }
        for (name, cell) in INVARIANTS.iter().zip(&self.broken) {
            write!(f, "broken_{name}={} ", cell.get())?;
        }
        let (sockets, bytes, clients) = (self.sockets.get(), self.bytes.get(), self.clients.get());
        write!(f, "sockets={sockets} clients={clients} bytes={bytes}")
    }
}

/// One socket and the bytes of its buffers, on the book for as long as this lives.
pub struct Entry {
    book: Rc<Book>,
    bytes: usize,
    client: bool,
}

impl Entry {
    pub fn of(book: &Rc<Book>, client: bool) -> Entry {
        book.sockets.set(book.sockets.get() + 1);
        book.must(book.sockets.get() <= book.room.most, Invariant::WithinSockets);
        book.clients.set(book.clients.get() + usize::from(client));
        Entry { book: Rc::clone(book), bytes: 0, client }
    }

    pub fn weigh(&mut self, bytes: usize) {
        let book = &self.book;
        book.bytes.set(book.bytes.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.weigh(0);
        let book = &self.book;
        book.sockets.set(book.sockets.get() - 1);
        book.clients.set(book.clients.get() - usize::from(self.client));
        book.freed.notify_waiters();
    }
}
