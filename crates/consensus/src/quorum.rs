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
        self.responses.push(RecordedResponse { voter, response });
    }

    /// Whether those who assent so far are a quorum.
    pub fn has_quorum(&self) -> bool {
        has_quorum(&self.membership, &self.assenting_voters())
    }

    /// Whether so many voters refused that the others are no quorum.
    pub(crate) fn is_lost(&self) -> bool {
        let opposing = self.responses.iter().filter(|one| one.refuses()).map(|one| one.voter).collect();
        quorum_is_impossible(&self.membership, &opposing)
    }

    /// All voters that responded, whatever they voted.
    pub(crate) fn respondents(&self) -> BTreeSet<SocketAddr> {
        self.responses.iter().map(|one| one.voter).collect()
    }

    /// The votes, in the order in which they came.
    pub(crate) fn votes(&self) -> impl Iterator<Item = &Vote> {
        self.responses.iter().map(|one| &one.response.vote)
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
        let responses = self.responses.iter().map(|one| (one.voter, &one.response));
        let latest = latest_incarnations(responses);
        let is_current = |one: &RecordedResponse| latest.get(&one.voter) == Some(&one.response.incarnation);
        let counted = self.responses.iter().filter(|one| one.assents() && is_current(one));
        counted.map(|one| one.voter).collect()
    }
}

#[cfg(test)]
mod tests;
