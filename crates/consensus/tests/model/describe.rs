//! Text descriptions of the actions on a path to a violation.

use crate::cluster::{Action, ClusterModel, ClusterState, Message, index_of};
use vanewharf_protocol::messages::{Ballot, VoteRequest};

impl ClusterModel {
    pub fn describe(&self, state: &ClusterState, action: &Action) -> String {
        let text = match action {
            Action::Deliver(message) => describe_delivery(message),
            Action::DeliverTwice(message) => format!("{}, and stays in flight", describe_delivery(message)),
            Action::DeliverWithoutResponse(message) => {
                format!("{}, and its vote is lost", describe_delivery(message))
            }
            Action::DeliverWithFailedWrite(message) => {
                format!("{}, and its write fails", describe_delivery(message))
            }
            other => format!("{other:?}"),
        };
        format!("tick {}: {text}", state.tick)
    }
}

fn describe_delivery(message: &Message) -> String {
    let request = describe_request(&message.request);
    let (requester, voter) = (message.requester, message.voter);
    match &message.response {
        None => format!("{voter} receives from {requester}: {request}"),
        Some(response) => {
            let vote = format!("{:?}", response.vote);
            let vote = vote.split([' ', '{']).next().unwrap_or_default();
            format!("{requester} receives from {voter}: {vote} ({request})")
        }
    }
}

fn describe_request(request: &VoteRequest) -> String {
    match request {
        VoteRequest::Lease { ballot, .. } => format!("Lease under {}", describe_ballot(*ballot)),
        VoteRequest::PreVote { .. } => "PreVote".to_owned(),
        VoteRequest::Renew { ballot, .. } => format!("Renew under {}", describe_ballot(*ballot)),
        VoteRequest::Release { ballot } => format!("Release of {}", describe_ballot(*ballot)),
        VoteRequest::Recover { incarnation, .. } => format!("Recover as incarnation {incarnation:x}"),
        VoteRequest::Accept { register } => {
            let voters: Vec<_> = register.membership.voters.iter().map(|voter| index_of(*voter)).collect();
            let (ballot, revision) = (describe_ballot(register.ballot), register.revision.0);
            format!("Accept revision {revision} under {ballot} {:?} voters {voters:?}", register.evacuated)
        }
    }
}

/// Formats a ballot as its counter and the index of its proposer.
fn describe_ballot(ballot: Ballot) -> String {
    format!("{}.{}", ballot.0 >> 32, (ballot.0 & 0xff).saturating_sub(1))
}
