//! Changes of the set of voters.

use super::Replica;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use vanewharf_consensus::RenewalOutcome;
use vanewharf_consensus::next_membership;
use vanewharf_protocol::messages::{Membership, Register};

impl Replica {
    /// The set of the register in force.
    fn settled_set(&self) -> Membership {
        self.feed.store().register.as_ref().map(|register| register.membership.clone()).unwrap_or_default()
    }

    /// Another set of voters by joint consensus: first both sets decide, then the new one alone. A voter leaves only when a
    /// majority of the new set has all that was kept.
    pub async fn reconfigure(self: &Rc<Self>, voters: BTreeSet<SocketAddr>) -> bool {
        // One that a holder before this one began is concluded first.
        while let Some(membership) = next_membership(&self.settled_set(), &voters) {
            // Between the two the lease is renewed by both sets: a holder that went by votes of the old one alone could
            // be overtaken by one whom the new one elects.
            let concludes = membership.outgoing.is_empty();
            if concludes && self.renew(self.ballot()).await != RenewalOutcome::Renewed {
                return false;
            }
            if !self.acknowledge(|register| Register { membership, ..register.clone() }).await {
                return false;
            }
            if concludes {
                let now = self.membership();
                spdlog::info!("epoch {}: the voters are {:?}", now.epoch, now.voters);
            }
        }
        true
    }
}
