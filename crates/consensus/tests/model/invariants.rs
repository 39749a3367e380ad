//! The invariants that have to hold in each state.

use crate::cluster::{ClusterModel, ClusterState, address, index_of};
use crate::member::Member;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use vanewharf_consensus::{all_voters, has_quorum};
use vanewharf_protocol::messages::{Membership, Register};

pub const ONE_LEASEHOLDER: &str = "at most one leaseholder has a valid lease";
pub const VALUES_RETAINED: &str = "no quorum of voters lacks an acknowledged value";
pub const VALUES_FOUND: &str = "every later leaseholder finds all acknowledged values in its election";
pub const ONE_REGISTER_PER_REVISION: &str = "at most one register is acknowledged under each revision";
pub const OLD_SET_KNOWS_CHANGE: &str = "no majority of the old set of voters is unaware of a finished change";
pub const FRESH_READS: &str = "reads that a leaseholder serves include all acknowledged values";
pub const LEASEHOLDER_ELECTED: &str =
    "once all members run and all messages arrive, a member with all acknowledged values wins the lease";

impl ClusterModel {
    pub fn has_one_leaseholder(&self, state: &ClusterState) -> bool {
        let holds_lease = |(index, member): &(usize, &Member)| {
            member.running && member.holds_lease(self.now(state, *index))
        };
        state.members.iter().enumerate().filter(holds_lease).count() <= 1
    }

    /// Returns whether no quorum lacks an acknowledged value: such a quorum could elect a leaseholder that lacks it.
    /// Members with amnesia are not counted, as they vote only after they have recovered the value. Members that are
    /// down count by their disks.
    pub fn retains_acknowledged_values(&self, state: &ClusterState) -> bool {
        let Some((_, acknowledged)) = state.acknowledged.last_key_value() else {
            return true;
        };
        let values = state.acknowledged_values();
        let lacks_values = |member: &SocketAddr| {
            let member = &state.members[index_of(*member)];
            let has_values = |register: &Register| values.is_subset(&register.evacuated);
            !member.has_amnesia() && !member.register_on_disk.as_ref().is_some_and(has_values)
        };
        let lacking: BTreeSet<_> =
            all_voters(&acknowledged.membership).into_iter().filter(lacks_values).collect();
        values.is_empty() || !has_quorum(&acknowledged.membership, &lacking)
    }

    /// Returns whether no majority of the previous set of voters is unaware of the change to the acknowledged set.
    pub fn old_set_knows_of_change(&self, state: &ClusterState) -> bool {
        let initial_voters = self.initial_voter_addresses();
        let is_finished =
            |membership: &Membership| membership.outgoing.is_empty() && membership.voters != initial_voters;
        let last = state.acknowledged.last_key_value().map(|(_, acknowledged)| &acknowledged.membership);
        let Some(membership) = last.filter(|membership| is_finished(membership)) else {
            return true;
        };
        let (voters, epoch) = self.previous_voters(membership);
        let is_unaware = |voter: &SocketAddr| {
            let member = &state.members[index_of(*voter)];
            let knows = |register: &Register| register.membership.epoch > epoch;
            !member.has_amnesia() && !member.register_on_disk.as_ref().is_some_and(knows)
        };
        let unaware = voters.iter().copied().filter(is_unaware).collect();
        let old_set = Membership { epoch, voters, outgoing: Vec::new() };
        !has_quorum(&old_set, &unaware)
    }

    /// Returns whether all members that may serve reads publish all acknowledged values.
    pub fn reads_are_fresh(&self, state: &ClusterState) -> bool {
        let values = state.acknowledged_values();
        state.members.iter().enumerate().all(|(index, member)| {
            let serves = member.running && member.may_serve(self.now(state, index));
            let has_values = |register: &Register| values.is_subset(&register.evacuated);
            !serves || values.is_empty() || member.published.as_ref().is_some_and(has_values)
        })
    }

    /// Returns whether a member holds the lease, may serve under it, and publishes all acknowledged values.
    pub fn serves_all_values(&self, state: &ClusterState, index: usize) -> bool {
        let (member, values) = (&state.members[index], state.acknowledged_values());
        let has_values = |register: &Register| values.is_subset(&register.evacuated);
        member.may_serve(self.now(state, index))
            && (values.is_empty() || member.published.as_ref().is_some_and(has_values))
    }

    /// Returns whether a member may campaign: it is a voter that neither holds the lease nor knows of another
    /// leaseholder.
    pub fn may_campaign(&self, state: &ClusterState, index: usize) -> bool {
        let (member, now) = (&state.members[index], self.now(state, index));
        !member.holds_lease(now)
            && member.membership().voters.contains(&address(index))
            && member.voter.may_campaign(now)
    }
}
