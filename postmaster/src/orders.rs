//! The operator's orders: one task takes them one after the other while this process holds the lease.

use crate::office::Office;
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use vanewharf_mailroom::config::Revision;
use vanewharf_mailroom::messages::Register;

#[derive(Debug)]
pub enum Order {
    /// Not an operator's: the system's own set of voters changes, as long as it is still the one of that epoch.
    Reconfigure {
        epoch: u64,
        voters: BTreeSet<SocketAddr>,
    },
    /// One voter leaves the set, and another one takes its place.
    Voters {
        out: SocketAddr,
        into: SocketAddr,
    },
    Replace {
        revision: Revision,
        config: Box<RawValue>,
    },
    Evacuate {
        zone: String,
        begin: bool,
    },
    Read,
}

/// What became of an order.
#[derive(Debug)]
pub enum Done {
    Acknowledged,
    Configuration(Option<Box<RawValue>>),
    /// Nothing is certain: it may or may not come to be in force.
    Uncertain,
    /// Another process takes orders, or nobody does.
    NotHere,
}

#[derive(Clone)]
pub struct Orders {
    queue: mpsc::Sender<(Order, oneshot::Sender<Done>)>,
}

/// Orders that wait at once; more are turned away.
const MOST_WAITING: usize = 32;

impl Orders {
    pub fn start(office: Rc<Office>) -> Orders {
        let (queue, mut taken) = mpsc::channel::<(Order, oneshot::Sender<Done>)>(MOST_WAITING);
        tokio::task::spawn_local(async move {
            while let Some((order, reply)) = taken.recv().await {
                let _ = reply.send(carry_out(&office, order).await);
            }
        });
        Orders { queue }
    }

    pub async fn give(&self, order: Order) -> Done {
        let (reply, done) = oneshot::channel();
        if self.queue.try_send((order, reply)).is_err() {
            return Done::Uncertain;
        }
        done.await.unwrap_or(Done::Uncertain)
    }
}

async fn carry_out(office: &Rc<Office>, order: Order) -> Done {
    if !office.holds() {
        return Done::NotHere;
    }
    let register = office.feed.store().register.clone();
    let register = register.as_deref();
    let acknowledged = match order {
        Order::Read => {
            let config = register.and_then(|register| register.config.clone());
            return if office.holds() { Done::Configuration(config) } else { Done::NotHere };
        }
        Order::Replace { revision: newer, config } => {
            // A version that is not above the one held changes nothing.
            if office.config().is_some_and(|held| held.revision >= newer) {
                return if office.holds() { Done::Acknowledged } else { Done::NotHere };
            }
            office.acknowledge(|register| Register { config: Some(config), ..register.clone() }).await
        }
        Order::Voters { out, into } => {
            let mut voters: BTreeSet<_> = office.membership().voters.into_iter().collect();
            voters.remove(&out);
            voters.insert(into);
            office.reconfigure(voters).await
        }
        Order::Reconfigure { epoch, voters } => {
            office.membership().epoch == epoch && office.reconfigure(voters).await
        }
        Order::Evacuate { zone, begin } => {
            if register.is_some_and(|register| register.evacuated.contains(&zone)) == begin {
                return if office.holds() { Done::Acknowledged } else { Done::NotHere };
            }
            let change = |register: &Register| {
                let mut register = register.clone();
                if begin {
                    register.evacuated.insert(zone);
                } else {
                    register.evacuated.remove(&zone);
                }
                register
            };
            office.acknowledge(change).await
        }
    };
    if acknowledged { Done::Acknowledged } else { Done::Uncertain }
}
