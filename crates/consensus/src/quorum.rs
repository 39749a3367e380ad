//! Counts the votes of one round: which voters responded, and whether those who assent are a quorum.

use crate::incarnation::latest_incarnations;
use crate::membership::{has_quorum, quorum_is_impossible};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use vanewharf_protocol::messages::{Ballot, Membership, Vote, VoteResponse};

/// Collects the responses of one round and tells whether a quorum of its membership assents. Responses may arrive in
/// any order, and more than once from the same voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuorumTracker {
    membership: Membership,
    /// All responses, in the order in which they arrived.
    responses: Vec<RecordedResponse>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RecordedResponse {
    voter: SocketAddr,
    response: VoteResponse,
}

impl RecordedResponse {
    fn assents(&self) -> bool {
        matches!(self.response.vote, Vote::Granted { .. } | Vote::WouldGrant { .. } | Vote::Accepted)
    }

    fn refuses(&self) -> bool {
        matches!(self.response.vote, Vote::Refused { .. })
    }
}

impl QuorumTracker {
    /// Starts a round to which no voter has responded yet.
    pub fn new(membership: Membership) -> QuorumTracker {
        QuorumTracker { membership, responses: Vec::new() }
    }

    /// Returns the membership of which the round needs a quorum.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Replaces the membership of which a quorum is needed. The responses recorded so far still count.
    pub(crate) fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
    }

    /// Records the response of one voter. If a voter responds more than once, any assent of its latest incarnation
    /// counts.
    pub fn record(&mut self, voter: SocketAddr, response: VoteResponse) {
        self.responses.push(RecordedResponse { voter, response });
    }

    /// Returns whether the voters that have assented so far are a quorum.
    pub fn has_quorum(&self) -> bool {
        has_quorum(&self.membership, &self.assenting_voters())
    }

    /// Returns whether so many voters have refused that the remaining ones cannot be a quorum.
    pub(crate) fn quorum_is_impossible(&self) -> bool {
        let opposing = self.responses.iter().filter(|recorded| recorded.refuses());
        let opposing = opposing.map(|recorded| recorded.voter).collect();
        quorum_is_impossible(&self.membership, &opposing)
    }

    /// Returns all voters that have responded, whatever they voted.
    pub(crate) fn respondents(&self) -> BTreeSet<SocketAddr> {
        self.responses.iter().map(|recorded| recorded.voter).collect()
    }

    /// Returns the votes in the order in which they arrived.
    pub(crate) fn votes(&self) -> impl Iterator<Item = &Vote> {
        self.responses.iter().map(|recorded| &recorded.response.vote)
    }

    /// Returns the highest ballot that a refusing voter has promised, or 0 if none refused.
    pub(crate) fn highest_ballot_in_refusals(&self) -> Ballot {
        let refused = self.votes().filter_map(|vote| match vote {
            Vote::Refused { promised, .. } => Some(*promised),
            _ => None,
        });
        refused.max().unwrap_or_default()
    }

    /// Returns the voters that have assented. A vote is left out if any response names a later incarnation of its
    /// voter: it was cast before the voter lost its disk (see `incarnation`).
    pub(crate) fn assenting_voters(&self) -> BTreeSet<SocketAddr> {
        let responses = self.responses.iter().map(|recorded| (recorded.voter, &recorded.response));
        let latest = latest_incarnations(responses);
        let is_current =
            |recorded: &RecordedResponse| latest.get(&recorded.voter) == Some(&recorded.response.incarnation);
        let counted = self.responses.iter().filter(|recorded| recorded.assents() && is_current(recorded));
        counted.map(|recorded| recorded.voter).collect()
    }
}

#[cfg(test)]
mod tests;
