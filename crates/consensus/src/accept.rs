//! The accept round, which determines whether a majority has a proposed register on disk.
//!
//! A register that a majority of its own membership has accepted is committed: every later candidate finds it (see
//! `election`). A round that is abandoned or rejected decides nothing: voters may have accepted the register without
//! their responses arriving, and a later candidate may find it and commit it.

use crate::quorum::QuorumTracker;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use vanewharf_protocol::messages::{Register, VoteResponse};

/// A round in which the voters that a register names are asked to accept it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptRound {
    tally: QuorumTracker,
}

/// How an accept round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// A majority has the register on disk.
    Committed,
    /// So many voters refused that the others cannot be a majority.
    Rejected,
}

impl AcceptRound {
    /// Starts a round among the voters that the register itself names.
    pub fn start(register: &Register) -> AcceptRound {
        AcceptRound { tally: QuorumTracker::new(register.membership.clone()) }
    }

    /// Records one response. Breaks once the outcome is decided.
    pub fn record_response(
        &mut self,
        voter: SocketAddr,
        response: VoteResponse,
    ) -> ControlFlow<AcceptOutcome> {
        self.tally.record(voter, response);
        if self.tally.has_quorum() {
            ControlFlow::Break(AcceptOutcome::Committed)
        } else if self.tally.quorum_is_impossible() {
            ControlFlow::Break(AcceptOutcome::Rejected)
        } else {
            ControlFlow::Continue(())
        }
    }
}

#[cfg(test)]
mod tests;
