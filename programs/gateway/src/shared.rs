//! What all stages of one process share.

use crate::clock::Clock;
use crate::dialect::HttpDialect;
use crate::messages::RouterMessage;
use crate::open_ids::OpenIds;
use crate::open_requests::OpenRequests;
use crate::resources::Resources;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;
use vanewharf_gateway_settings::ConnectionTimeouts;
use vanewharf_policy::interface::TxnId;

/// The context that each stage holds a reference to.
pub struct Shared {
    /// The process's clock.
    pub clock: Clock,
    /// Sockets and memory in use, and the counters.
    pub resources: Rc<Resources>,
    /// How this program speaks HTTP.
    pub dialect: Box<dyn HttpDialect>,
    /// The timeouts of backend connections.
    pub timeouts: ConnectionTimeouts,
    /// The ids of the requests that are in flight.
    pub open_ids: OpenIds,
    /// The requests that were read and have no answer yet.
    pub open_requests: OpenRequests,
    router: mpsc::UnboundedSender<RouterMessage>,
    last_txn: Cell<u64>,
}

impl Shared {
    /// A context whose messages to the router go to `router`.
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
            router,
            last_txn: Cell::new(0),
        }
    }

    /// Queues a message for the router. The router ends with the process only, so a failure needs no handling.
    pub fn notify_router(&self, message: RouterMessage) {
        let _ = self.router.send(message);
    }

    /// The id of the next request; ids are ascending from 1.
    pub fn next_txn(&self) -> TxnId {
        self.last_txn.set(self.last_txn.get() + 1);
        TxnId(self.last_txn.get())
    }
}
