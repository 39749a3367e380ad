//! The tally of one round of voting: which voters responded, and whether those who assent are a quorum.

use crate::incarnation::latest_incarnations;
use crate::membership::{has_quorum, quorum_is_impossible};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use vanewharf_protocol::messages::{Ballot, Membership, Vote, VoteResponse};

/// Collects the responses of one round and tells whether a quorum of its membership assents. Responses may come in any
/// order, and more than once from the same voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuorumTracker {
    membership: Membership,
    /// In the order in which they came.
    responses: Vec<(SocketAddr, VoteResponse)>,
}

impl QuorumTracker {
    /// A round to which nobody has responded yet.
    pub fn new(membership: Membership) -> QuorumTracker {
        QuorumTracker { membership, responses: Vec::new() }
    }

    /// Whose quorum the round needs.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Continues with another membership; the responses so far count for it, too.
    pub(crate) fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
    }

    /// Records the response of one voter.
    pub fn record(&mut self, voter: SocketAddr, response: VoteResponse) {
        self.responses.push((voter, response));
    }

    /// Whether those who assent so far are a quorum.
    pub fn has_quorum(&self) -> bool {
        has_quorum(&self.membership, &self.assenting_voters())
    }

    /// Whether so many voters refused that the others are no quorum.
    pub(crate) fn is_lost(&self) -> bool {
        let refused =
            |(_, response): &&(SocketAddr, VoteResponse)| matches!(response.vote, Vote::Refused { .. });
        let opposing = self.responses.iter().filter(refused).map(|(voter, _)| *voter).collect();
        quorum_is_impossible(&self.membership, &opposing)
    }

    /// All voters that responded, whatever they voted.
    pub(crate) fn respondents(&self) -> BTreeSet<SocketAddr> {
        self.responses.iter().map(|(voter, _)| *voter).collect()
    }

    /// The votes, in the order in which they came.
    pub(crate) fn votes(&self) -> impl Iterator<Item = &Vote> {
        self.responses.iter().map(|(_, response)| &response.vote)
    }

    /// The highest ballot that a refusing voter has promised; 0 if none refused.
    pub(crate) fn highest_refused_ballot(&self) -> Ballot {
        let refused = self.votes().filter_map(|vote| match vote {
            Vote::Refused { promised, .. } => Some(*promised),
            _ => None,
        });
        refused.max().unwrap_or_default()
    }

    /// The voters that assent. Votes of an incarnation for which any response names a later one are left out: they were cast
    /// before the voter lost its disk (see `incarnation`).
    pub(crate) fn assenting_voters(&self) -> BTreeSet<SocketAddr> {
        let latest = latest_incarnations(self.responses.iter().map(|(voter, response)| (*voter, response)));
        let counts = |(voter, response): &&(SocketAddr, VoteResponse)| {
            is_assent(&response.vote) && latest.get(voter) == Some(&response.incarnation)
        };
        self.responses.iter().filter(counts).map(|(voter, _)| *voter).collect()
    }
}

fn is_assent(vote: &Vote) -> bool {
    matches!(vote, Vote::Granted { .. } | Vote::Willing { .. } | Vote::Accepted)
}

#[cfg(test)]
mod tests;
