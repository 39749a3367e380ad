//! Describes the steps of a path to a violation.

use crate::cluster::{Action, ClusterModel, ClusterState, Message, index_of};
use vanewharf_protocol::messages::{Ballot, VoteRequest};

impl ClusterModel {
    pub fn describe(&self, state: &ClusterState, action: &Action) -> String {
        let step = match action {
            Action::Deliver(message) => describe_delivery(message),
            Action::DeliverTwice(message) => format!("{} (and will again)", describe_delivery(message)),
            Action::DeliverWithoutResponse(message) => {
                format!("{}, and its vote is lost", describe_delivery(message))
            }
            Action::DeliverWithFailedWrite(message) => {
                format!("{}, and its write fails", describe_delivery(message))
            }
            other => format!("{other:?}"),
        };
        format!("tick {}: {step}", state.tick)
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
        VoteRequest::Lease { ballot, .. } => format!("Lease under {}", short(*ballot)),
        VoteRequest::PreVote { .. } => "PreVote".to_owned(),
        VoteRequest::Renew { ballot, .. } => format!("Renew under {}", short(*ballot)),
        VoteRequest::Release { ballot } => format!("Release of {}", short(*ballot)),
        VoteRequest::Recover { incarnation, .. } => format!("Recover as incarnation {incarnation:x}"),
        VoteRequest::Accept { register } => {
            let voters: Vec<_> = register.membership.voters.iter().map(|voter| index_of(*voter)).collect();
            let (ballot, revision) = (short(register.ballot), register.revision.0);
            format!("Accept revision {revision} under {ballot} {:?} voters {voters:?}", register.evacuated)
        }
    }
}

/// Which try, and by whom.
fn short(ballot: Ballot) -> String {
    format!("{}.{}", ballot.0 >> 32, (ballot.0 & 0xff).saturating_sub(1))
}
