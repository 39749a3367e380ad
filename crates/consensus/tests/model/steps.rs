//! What may happen next, and what comes of it.

use crate::machine::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use vanewharf_clock::Timestamp;
use vanewharf_consensus::all_voters;
use vanewharf_consensus::next_membership;
use vanewharf_consensus::{AcceptOutcome, StartKind, Voter, VoterRecord};
use vanewharf_consensus::{AcceptRound, BallotClaim, Election, HeldLease, RecoveryRound, RenewalRound};
use vanewharf_consensus::{DurableWrite, LEASE_DURATION, next_ballot};
use vanewharf_consensus::{ElectionOutcome, RecoveryStep, RenewalOutcome};
use vanewharf_protocol::messages::Vote;
use vanewharf_protocol::messages::{Ballot, Register, Revision, VoteRequest, VoteResponse};

impl Lease {
    pub fn possible(&self, state: &State, actions: &mut Vec<Action>) {
        let left = &state.left;
        if left.ticks > 0 {
            actions.push(Action::Tick);
        }
        let lost = state.members.iter().filter(|member| !member.votes()).count();
        for (place, member) in state.members.iter().enumerate() {
            if !member.up {
                actions.push(Action::Restart(place));
                continue;
            }
            let now = self.now(state, place);
            // Whoever comes next is lost only when those before are back.
            if lost < self.losses || lost == self.losses && !member.votes() {
                if left.crashes > 0 {
                    actions.push(Action::Crash(place));
                }
                if left.wipes > 0 {
                    actions.push(Action::Wipe(place));
                }
            }
            let lapsed = member.term.is_none_or(|term| !term.is_valid(now));
            let voter = member.membership().voters.contains(&addr(place));
            // A holder may want its own lease anew, under a higher ballot.
            let may = member.voter.may_campaign(now) || member.term.is_some() && !lapsed;
            if left.tries > 0 && voter && may {
                actions.push(Action::Try(place));
            }
            if left.inquiries > 0
                && member.promise.as_ref().is_some_and(|promise| promise.promised_to.is_some())
                && member.voter.leaseholder(now).is_none()
                && !member.voter.may_campaign(now)
            {
                actions.push(Action::Inquire(place));
            }
            if left.timeouts > 0 && (member.keeping.is_some() || member.election.is_some()) {
                actions.push(Action::TimeOut(place));
            }
            if left.learns > 0 && !member.voter.is_amnesic() {
                let known = |(_, other): &(usize, &Member)| other.up && other.store.is_some();
                let others = state.members.iter().enumerate().filter(known);
                let others = others.filter(|(other, _)| *other != place);
                actions.extend(others.map(|(other, _)| Action::Learn(place, other)));
            }
            let Some(term) = member.term else {
                continue;
            };
            if left.renewals > 0 {
                actions.push(Action::Renew(place));
            }
            if left.leaves > 0 {
                actions.push(Action::Leave(place));
            }
            if member.keeping.is_some() || !term.may_serve(now) {
                continue;
            }
            if left.values > 0 {
                actions.push(Action::Propose(place));
            }
            let outgoing = !member.membership().outgoing.is_empty();
            let settled = !member.settled_set().outgoing.is_empty();
            let change: Vec<_> = self.change.iter().map(|place| addr(*place)).collect();
            if left.changes > 0 && !settled && member.settled_set().voters != change && !change.is_empty() {
                actions.push(Action::Begin(place));
            }
            let renewed = !member.unrenewed || self.has(Planted::NoRenewalByBoth);
            let may = if self.has(Planted::ConcludedUnkept) { outgoing } else { settled && renewed };
            if left.conclusions > 0 && may {
                actions.push(Action::Conclude(place));
            }
        }
        for envelope in &state.net {
            let to = if envelope.vote.is_some() { envelope.owner } else { envelope.voter };
            if !state.members[to].up {
                continue;
            }
            actions.push(Action::Deliver(envelope.clone()));
            if self.prompt && !matches!(envelope.request, VoteRequest::Release { .. }) {
                actions.push(Action::Mute(envelope.clone()));
            }
            if left.repeats > 0 && envelope.vote.is_none() {
                actions.push(Action::Repeat(envelope.clone()));
            }
            if left.refusals > 0 && envelope.vote.is_none() {
                actions.push(Action::Refuse(envelope.clone()));
            }
        }
    }

    pub fn step(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Tick => {
                next.left.ticks = next.left.ticks.saturating_sub(1);
                next.tick += 1;
            }
            Action::Try(place) => self.try_for_it(&mut next, place),
            Action::Renew(place) => self.renew(&mut next, place),
            Action::Propose(place) => {
                next.left.values -= 1;
                let value = format!("v{}", self.budget.values - next.left.values);
                self.order(&mut next, place, Purpose::Value, |register| {
                    register.evacuated.insert(value);
                });
            }
            Action::Begin(place) => {
                next.left.changes -= 1;
                self.reconfigure(&mut next, place, Purpose::Begin);
            }
            Action::Conclude(place) => {
                next.left.conclusions -= 1;
                self.reconfigure(&mut next, place, Purpose::Conclude);
            }
            Action::Leave(place) => {
                next.left.leaves -= 1;
                if let Some(term) = next.members[place].term.take() {
                    self.release(&mut next, place, term.ballot);
                }
            }
            Action::Crash(place) => {
                next.left.crashes -= 1;
                self.end(&mut next, place);
            }
            Action::Wipe(place) => {
                next.left.wipes -= 1;
                self.end(&mut next, place);
                (next.members[place].promise, next.members[place].register) = (None, None);
            }
            Action::Restart(place) => self.restart(&mut next, place),
            Action::Inquire(place) => {
                next.left.inquiries -= 1;
                self.inquire(&mut next, place);
            }
            Action::TimeOut(place) => {
                next.left.timeouts -= 1;
                next.members[place].keeping = None;
                if let Some((_, ballot, _, election)) = next.members[place].election.take() {
                    self.lose(&mut next, place, ballot, &election);
                }
            }
            Action::Learn(place, from) => {
                next.left.learns -= 1;
                let register = next.members[from].store.clone()?;
                let member = &mut next.members[place];
                if let Some(save) = member.voter.adopt_committed_register(&register) {
                    member.register = Some(register.clone());
                    member.voter.mark_persisted(save);
                }
                // As `Store::set_register`.
                if member.store.as_ref().is_none_or(|mine| register.revision > mine.revision) {
                    member.store = Some(register);
                }
            }
            Action::Deliver(envelope) => {
                let at = next.net.iter().position(|one| *one == envelope)?;
                next.net.remove(at);
                self.deliver(&mut next, envelope, false);
            }
            Action::Repeat(envelope) => {
                next.left.repeats -= 1;
                self.deliver(&mut next, envelope, false);
            }
            Action::Mute(envelope) => {
                let at = next.net.iter().position(|one| *one == envelope)?;
                next.net.remove(at);
                self.voter_hears(&mut next, &envelope, false);
            }
            Action::Refuse(envelope) => {
                let at = next.net.iter().position(|one| *one == envelope)?;
                next.net.remove(at);
                next.left.refusals -= 1;
                self.deliver(&mut next, envelope, true);
            }
        }
        self.forget_the_over(&mut next);
        next.tidy();
        (next != *state).then_some(next)
    }

    /// Votes of rounds that are over are heard by nobody, and what is below a promise that cannot be lost
    /// does nothing.
    fn forget_the_over(&self, state: &mut State) {
        let (members, wipes) = (&state.members, state.left.wipes);
        state.net.retain(|one| {
            let owner = &members[one.owner];
            let rounds = [
                owner.election.as_ref().map(|now| now.0),
                owner.renewing.as_ref().map(|now| now.0),
                owner.keeping.as_ref().map(|now| now.0),
                owner.recovering.as_ref().map(|now| now.0),
            ];
            if owner.up && rounds.contains(&Some(one.round)) {
                return true;
            }
            let promised = members[one.voter].promise.as_ref().map_or(Ballot(0), |promise| promise.ballot);
            let past = |ballot: Ballot| wipes == 0 && ballot < promised;
            one.vote.is_none()
                && match &one.request {
                    VoteRequest::Lease { ballot, .. } => !past(*ballot) && (wipes > 0 || *ballot != promised),
                    VoteRequest::Renew { ballot, .. } => !past(*ballot),
                    VoteRequest::Accept { register } => !past(register.ballot),
                    VoteRequest::PreVote { .. } | VoteRequest::Release { .. } => true,
                    VoteRequest::Recover { .. } => false,
                }
        });
    }

    fn ask(
        &self,
        state: &mut State,
        owner: usize,
        voters: &BTreeSet<SocketAddr>,
        request: VoteRequest,
    ) -> u8 {
        let round = state.members[owner].rounds + 1;
        state.members[owner].rounds = round;
        self.ask_besides(state, owner, round, voters, request);
        round
    }

    fn ask_besides(
        &self,
        state: &mut State,
        owner: usize,
        round: u8,
        voters: &BTreeSet<SocketAddr>,
        request: VoteRequest,
    ) {
        for voter in voters {
            let (voter, request) = (place(*voter), request.clone());
            state.net.push(Envelope { owner, round, voter, request, vote: None });
        }
    }

    fn try_for_it(&self, state: &mut State, place: usize) {
        state.left.tries = state.left.tries.saturating_sub(1);
        let now = self.now(state, place);
        let member = &mut state.members[place];
        let name = if self.has(Planted::BallotsNotUnique) { addr(9) } else { addr(place) };
        let ballot = next_ballot(member.seen.max(member.voter.promised_ballot()), name);
        member.claim = BallotClaim::new(ballot);
        let (set, known) = member.newest_set();
        (member.term, member.keeping, member.renewing, member.unrenewed) = (None, None, None, false);
        let voters = all_voters(&set);
        let election = Election::start(addr(place), set, known);
        let request = VoteRequest::Lease { ballot, candidate: addr(place) };
        let round = self.ask(state, place, &voters, request);
        state.members[place].election = Some((round, ballot, now, election));
    }

    fn renew(&self, state: &mut State, place: usize) {
        state.left.renewals = state.left.renewals.saturating_sub(1);
        let Some(term) = state.members[place].term else {
            return;
        };
        let (asked, set) = (self.now(state, place), state.members[place].membership());
        let request = VoteRequest::Renew { ballot: term.ballot, leaseholder: addr(place) };
        let round = self.ask(state, place, &all_voters(&set), request);
        state.members[place].renewing = Some((round, asked, RenewalRound::start(term.ballot, set)));
    }

    /// As `Office::newest`, `propose` and `acknowledge`.
    fn order(&self, state: &mut State, place: usize, purpose: Purpose, change: impl FnOnce(&mut Register)) {
        let member = &mut state.members[place];
        let ballot = member.term.expect("it holds the lease").ballot;
        let settled = member.store.clone().unwrap_or_else(Register::empty);
        let newer = |one: &Register| one.ballot == ballot && one.rank() > settled.rank();
        let mut register = member.proposed.clone().filter(newer).unwrap_or(settled);
        change(&mut register);
        (register.ballot, register.revision) = (ballot, member.next);
        if purpose == Purpose::Value {
            member.proposed = Some(register.clone());
        }
        member.next = Revision(member.next.0 + 1);
        self.keep(state, place, purpose, register);
    }

    /// One step of `Office::reconfigure`.
    fn reconfigure(&self, state: &mut State, place: usize, purpose: Purpose) {
        let member = &state.members[place];
        let newest = self.has(Planted::ConcludedUnkept);
        let settled = if newest { member.membership() } else { member.settled_set() };
        let voters = self.change.iter().map(|place| addr(*place)).collect();
        let Some(mut membership) = next_membership(&settled, &voters) else {
            return;
        };
        if self.has(Planted::ChangeWithoutOutgoing) {
            membership.outgoing.clear();
        }
        self.order(state, place, purpose, |register| register.membership = membership);
    }

    /// As `Office::kept`.
    fn keep(&self, state: &mut State, place: usize, purpose: Purpose, register: Register) {
        let keeping = AcceptRound::start(&register);
        let mut voters = all_voters(&state.members[place].membership());
        voters.extend(all_voters(&register.membership));
        let round = self.ask(state, place, &voters, VoteRequest::Accept { register: register.clone() });
        state.members[place].keeping = Some((round, purpose, register, keeping));
    }

    fn release(&self, state: &mut State, place: usize, ballot: Ballot) {
        let voters = all_voters(&state.members[place].membership());
        self.ask(state, place, &voters, VoteRequest::Release { ballot });
    }

    /// Nobody has to wait for the end of votes that were for nothing.
    fn lose(&self, state: &mut State, place: usize, ballot: Ballot, election: &Election) {
        if state.left.releases > 0 {
            state.left.releases -= 1;
            self.ask(state, place, &all_voters(election.membership()), VoteRequest::Release { ballot });
        }
    }

    fn end(&self, state: &mut State, place: usize) {
        let member = &mut state.members[place];
        member.up = false;
        (member.election, member.term, member.renewing, member.keeping) = (None, None, None, None);
        (member.store, member.recovering, member.unrenewed) = (None, None, false);
        member.proposed = None;
        (member.seen, member.claim, member.next) = (Ballot(0), BallotClaim::default(), Revision(0));
        state.net.retain(|one| !(one.owner == place && (one.vote.is_some() || one.voter == place)));
    }

    fn restart(&self, state: &mut State, place: usize) {
        let now = self.now(state, place);
        let seeds = self.seeds();
        let wiped = u64::from(self.budget.wipes - state.left.wipes);
        let member = &mut state.members[place];
        member.up = true;
        member.voter =
            Voter::start(member.promise.as_ref(), member.register.clone(), &seeds, StartKind::Restart, now);
        if self.has(Planted::NoQuietTerm) {
            member.voter.end_quiet_period(member.voter.promised_ballot(), now);
        }
        if member.voter.is_amnesic() {
            self.recover(state, place, wiped);
        }
    }

    pub fn recover(&self, state: &mut State, place: usize, chance: u64) {
        let recovering = RecoveryRound::start(addr(place), self.seeds(), chance);
        let request = VoteRequest::Recover { member: addr(place), incarnation: recovering.incarnation() };
        let others = self.seeds().into_iter().filter(|seed| *seed != addr(place)).collect();
        let round = self.ask(state, place, &others, request);
        state.members[place].recovering = Some((round, recovering));
    }

    /// As `Office::inquire` and `Office::holds_by`; asked and answered at once.
    fn inquire(&self, state: &mut State, asker: usize) {
        let Some(VoterRecord { ballot, promised_to: Some(holder), .. }) =
            state.members[asker].promise.clone()
        else {
            return;
        };
        let (now, then) = (self.now(state, asker), self.now(state, place(holder)));
        let holder = &mut state.members[place(holder)];
        let mut claim = holder.claim;
        if !holder.up || claim.answer_inquiry(ballot, holder.term, then) {
            return;
        }
        if !self.has(Planted::NotDisowned) {
            holder.claim = claim;
        }
        state.members[asker].voter.end_quiet_period(ballot, now);
    }

    fn deliver(&self, state: &mut State, envelope: Envelope, refused: bool) {
        match envelope.vote.clone() {
            None => {
                let cast = self.voter_hears(state, &envelope, refused);
                if matches!(envelope.request, VoteRequest::Release { .. }) {
                    return;
                }
                if self.prompt {
                    self.count(state, envelope, cast);
                } else {
                    state.net.push(Envelope { vote: Some(cast), ..envelope });
                }
            }
            Some(cast) => self.count(state, envelope, cast),
        }
    }

    fn count(&self, state: &mut State, envelope: Envelope, mut cast: VoteResponse) {
        if self.has(Planted::IncarnationsNotCounted) {
            (cast.incarnation, cast.incarnations) = (0, BTreeMap::new());
        }
        if state.members[envelope.owner].up {
            self.owner_hears(state, envelope, cast);
        }
    }

    /// As `Office::own`: on disk first.
    fn voter_hears(&self, state: &mut State, envelope: &Envelope, refused: bool) -> VoteResponse {
        let now = self.now(state, envelope.voter);
        let forgets = self.has(Planted::RefusalForgotten);
        let early = self.has(Planted::PromiseBeforeDisk) && state.tick > 0;
        let member = &mut state.members[envelope.voter];
        let step = member.voter.handle_vote_request(envelope.request.clone(), now);
        let mut vote = step.vote;
        match step.write {
            Some(_) if refused => {
                vote = Vote::StorageFailed;
                if forgets {
                    // What the voter did before it kept in mind that its disk lacks something.
                    member.voter.mark_persisted(DurableWrite::VoterRecord(member.voter.record()));
                }
            }
            Some(save) => {
                match &save {
                    DurableWrite::VoterRecord(_) if early => {}
                    DurableWrite::VoterRecord(promise) => member.promise = Some(promise.clone()),
                    DurableWrite::Register(register) => member.register = Some(Register::clone(register)),
                }
                member.voter.mark_persisted(save);
            }
            None => {}
        }
        member.voter.response(vote)
    }

    fn owner_hears(&self, state: &mut State, envelope: Envelope, cast: VoteResponse) {
        let Envelope { owner, round, voter, request, .. } = envelope;
        let (me, from) = (owner, addr(voter));
        let member = &mut state.members[me];
        if let Some((_, ballot, asked, mut election)) = member.election.take_if(|now| now.0 == round) {
            let outcome = election.record_response(from, cast);
            member.seen = member.seen.max(election.highest_refused_ballot());
            match outcome {
                ControlFlow::Continue(()) => {
                    // One in which all have spoken is lost, and its votes with it.
                    let waits = state.net.iter().any(|one| one.owner == me && one.round == round);
                    if waits {
                        state.members[me].election = Some((round, ballot, asked, election));
                    } else {
                        self.lose(state, me, ballot, &election);
                    }
                }
                ControlFlow::Break(ElectionOutcome::QueryAlso(others)) => {
                    // Those that have not spoken are asked again; what they say to the first time is not
                    // heard.
                    state.net.retain(|one| !(one.owner == me && one.round == round && one.vote.is_some()));
                    let again = self.ask(state, me, &others, request);
                    state.members[me].election = Some((again, ballot, asked, election));
                }
                ControlFlow::Break(ElectionOutcome::Won(found)) if member.claim.is_valid_for(ballot) => {
                    self.win(state, me, ballot, asked, *found);
                }
                ControlFlow::Break(ElectionOutcome::Won(_) | ElectionOutcome::NotAVoter) => {
                    self.lose(state, me, ballot, &election)
                }
            }
        } else if let Some((_, asked, mut renewing)) = member.renewing.take_if(|now| now.0 == round) {
            match renewing.record_response(from, cast) {
                ControlFlow::Break(()) => {
                    let both = renewing.membership() == &member.settled_set();
                    let claim = member.claim;
                    if let Some(term) = member.term.filter(|term| claim.is_valid_for(term.ballot)) {
                        member.term = Some(self.lasting(term.renewed(asked), asked));
                        member.unrenewed &= !both;
                    }
                }
                ControlFlow::Continue(()) => {
                    let waits = state.net.iter().any(|one| one.owner == me && one.round == round);
                    if waits {
                        member.renewing = Some((round, asked, renewing));
                    } else if renewing.outcome() == RenewalOutcome::Superseded {
                        member.term = None;
                    }
                }
            }
        } else if let Some((_, purpose, register, mut keeping)) = member.keeping.take_if(|now| now.0 == round)
        {
            if !matches!(cast.vote, Vote::Accepted | Vote::Refused { .. }) {
                member.keeping = Some((round, purpose, register, keeping));
                state.net.push(Envelope { owner, round, voter, request, vote: None });
                return;
            }
            match keeping.record_response(from, cast) {
                ControlFlow::Continue(()) => member.keeping = Some((round, purpose, register, keeping)),
                ControlFlow::Break(AcceptOutcome::Committed) => self.carried(state, me, purpose, register),
                ControlFlow::Break(AcceptOutcome::Rejected) => {}
            }
        } else if let Some((_, mut recovering)) = member.recovering.take_if(|now| now.0 == round) {
            self.told(state, (me, round), (voter, request), &mut recovering, cast);
        }
    }

    fn lasting(&self, term: HeldLease, asked: Timestamp) -> HeldLease {
        if self.has(Planted::NoMargin) {
            HeldLease { valid_until: asked.after(LEASE_DURATION), ..term }
        } else {
            term
        }
    }

    fn win(&self, state: &mut State, me: usize, ballot: Ballot, asked: Timestamp, found: Register) {
        // All that a holder before this one acknowledged.
        if !state.values().is_subset(&found.evacuated) {
            state.broken = Some(FOUND);
        }
        state.won.insert(ballot, found.evacuated.clone());
        let member = &mut state.members[me];
        member.term = Some(self.lasting(HeldLease::granted(ballot, asked), asked));
        member.next = Revision(found.revision.0 + 1);
        let register = Register { ballot, ..found };
        if register.revision == Revision(0) {
            self.carried(state, me, Purpose::Settle, register);
        } else {
            self.keep(state, me, Purpose::Settle, register);
        }
    }

    /// A majority has it on disk: as the ends of `Office::acknowledge` and `Office::settle`.
    fn carried(&self, state: &mut State, me: usize, purpose: Purpose, register: Register) {
        let now = self.now(state, me);
        let member = &mut state.members[me];
        let Some(term) = member.term.filter(|term| term.ballot == register.ballot) else {
            return;
        };
        match purpose {
            Purpose::Settle => member.term = Some(HeldLease { register_committed: true, ..term }),
            _ if !term.may_serve(now) => return,
            Purpose::Begin => member.unrenewed = true,
            Purpose::Value | Purpose::Conclude => {}
        }
        if purpose != Purpose::Settle {
            let later = |(ballot, found): (&Ballot, &BTreeSet<String>)| {
                *ballot > register.ballot && !register.evacuated.is_subset(found)
            };
            if state.won.iter().any(later) {
                state.broken = Some(FOUND);
            }
            let content = (register.evacuated.clone(), register.membership.clone());
            let before = state.acknowledged.insert(register.revision, content.clone());
            if before.is_some_and(|before| before != content) {
                state.broken = Some(ONE_VALUE);
            }
        }
        state.members[me].store = Some(register);
    }

    fn told(
        &self,
        state: &mut State,
        (me, round): (usize, u8),
        (voter, request): (usize, VoteRequest),
        recovering: &mut RecoveryRound,
        cast: VoteResponse,
    ) {
        let now = self.now(state, me);
        let believed = match &cast.vote {
            Vote::Recovered { promised, register } if self.has(Planted::FirstSeedBelieved) => {
                let membership = register.membership.clone();
                let incarnation = recovering.incarnation();
                let blank = Voter::start(None, None, &membership.voters, StartKind::Initial, now).record();
                let promise = VoterRecord { ballot: *promised, incarnation, ..blank };
                Some(RecoveryStep::Restore(Box::new(promise), Box::new(register.clone())))
            }
            _ => None,
        };
        let known = matches!(cast.vote, Vote::Recovered { .. });
        let before = recovering.incarnation();
        recovering.record_response(addr(voter), cast);
        let chance = u64::from(self.budget.wipes - state.left.wipes);
        match believed.unwrap_or_else(|| recovering.next_step(chance)) {
            RecoveryStep::Restore(promise, register) => {
                let member = &mut state.members[me];
                (member.promise, member.register) = (Some(*promise.clone()), Some(*register.clone()));
                member.voter.complete_recovery(&promise, *register, now);
                if self.has(Planted::NoQuietTerm) {
                    member.voter.end_quiet_period(member.voter.promised_ballot(), now);
                }
            }
            RecoveryStep::Query(others) => {
                let member = addr(me);
                if recovering.incarnation() != before {
                    // What others say to the incarnation before is heard no more.
                    let incarnation = recovering.incarnation();
                    let request = VoteRequest::Recover { member, incarnation };
                    let again = self.ask(state, me, &others, request);
                    state.members[me].recovering = Some((again, recovering.clone()));
                    return;
                }
                let asked = |other: &SocketAddr| {
                    state.net.iter().any(|one| one.owner == me && one.voter == place(*other))
                };
                let spoke = recovering.respondents();
                let others: BTreeSet<_> = others
                    .into_iter()
                    .filter(|other| !asked(other) && !spoke.contains(other))
                    .filter(|other| !(known && *other == addr(voter)))
                    .collect();
                self.ask_besides(state, me, round, &others, request);
                state.members[me].recovering = Some((round, recovering.clone()));
            }
        }
    }
}
