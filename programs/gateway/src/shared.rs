//! The context that all tasks of a process share.

use crate::clock::Clock;
use crate::dialect::HttpDialect;
use crate::log::LineLimit;
use crate::messages::RouterMessage;
use crate::open_ids::OpenIds;
use crate::open_requests::OpenRequests;
use crate::resources::Resources;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;
use vanewharf_gateway_settings::ConnectionTimeouts;
use vanewharf_policy::interface::TxnId;

/// The shared context; every task holds a reference to it.
pub struct Shared {
    /// The process's clock.
    pub clock: Clock,
    /// Sockets and memory in use, and the counters.
    pub resources: Rc<Resources>,
    /// This program's HTTP header fields and admission rules.
    pub dialect: Box<dyn HttpDialect>,
    /// The timeouts of backend connections.
    pub timeouts: ConnectionTimeouts,
    /// The ids of the requests that are in flight.
    pub open_ids: OpenIds,
    /// The requests that were read and whose answer is not yet written.
    pub open_requests: OpenRequests,
    /// Limits the log of malformed replies.
    pub malformed_reply_lines: LineLimit,
    router: mpsc::UnboundedSender<RouterMessage>,
    last_txn: Cell<u64>,
}

impl Shared {
    /// Creates a context that sends messages to the router through `router`.
    pub fn new(
        clock: Clock,
        resources: Rc<Resources>,
        dialect: Box<dyn HttpDialect>,
        timeouts: ConnectionTimeouts,
        router: mpsc::UnboundedSender<RouterMessage>,
    ) -> Shared {
        Shared {
            clock,
            resources,
            dialect,
            timeouts,
            open_ids: OpenIds::default(),
            open_requests: OpenRequests::default(),
            malformed_reply_lines: LineLimit::default(),
            router,
            last_txn: Cell::new(0),
        }
    }

    /// Queues a message for the router. The router runs as long as the process, so a failure needs no handling.
    pub fn notify_router(&self, message: RouterMessage) {
        let _ = self.router.send(message);
    }

    /// Assigns the id of the next request; ids ascend from 1.
    pub fn next_txn(&self) -> TxnId {
        self.last_txn.set(self.last_txn.get() + 1);
        TxnId(self.last_txn.get())
    }
}
