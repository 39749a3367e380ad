//! The voter's owner, and the lease: whoever holds it takes the operator's orders, keeps the ledger and asks the platform
//! for its list. One task owns the voter and works through a queue; one tries for the lease and holds it.

use crate::disk::{Disk, Record};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use vanewharf_franking::voter::{
    MARGIN, Promise, RENEWED, Save, TERM, Voter, above, carries, enough, majority, recovered,
};
use vanewharf_mailroom::call::Caller;
use vanewharf_mailroom::clock::{At, Steady};
use vanewharf_mailroom::config::Config;
use vanewharf_mailroom::feed::Feed;
use vanewharf_mailroom::messages::{Ballot, Register, RegisterNo, Vote, VoteRequest};
use vanewharf_mailroom::premises::Premises;

/// For an vote that needs no disk.
const QUICK: Duration = Duration::from_millis(600);
/// For one that does, once.
const SLOW: Duration = Duration::from_millis(2500);
/// Between two tries to have a register kept by one voter.
const AGAIN: Duration = Duration::from_millis(200);
/// A register that is not kept by a majority by then is given up on.
const KEPT_BY: Duration = Duration::from_millis(5500);
const WATCH: Duration = Duration::from_millis(100);
/// By how much later each voter tries than the one before it.
const STAGGER: Duration = Duration::from_millis(120);

/// What the voter's owner works through.
enum Command {
    Hear(VoteRequest, oneshot::Sender<Vote>),
    /// Quotas are divided by so many doors.
    Count(u32),
}

type Commands = mpsc::UnboundedSender<Command>;

/// Those who assented.
fn assents(votes: &[(SocketAddr, Vote)]) -> impl Iterator<Item = &SocketAddr> {
    let yes = votes.iter().filter(|(_, vote)| matches!(vote, Vote::Granted { .. } | Vote::Accepted));
    yes.map(|(voter, _)| voter)
}

/// A lease in hand.
#[derive(Clone, Copy, Debug)]
struct Term {
    ballot: Ballot,
    until: At,
    /// What was kept before is kept under this ballot too, so that orders may be taken.
    settled: bool,
}

/// What all tasks of this process know of the office.
pub struct Office {
    pub me: SocketAddr,
    pub feed: Feed,
    premises: Premises,
    steady: Steady,
    voter: RefCell<Voter>,
    /// The voters of the first start.
    founders: Vec<SocketAddr>,
    commands: Commands,
    /// By how many doors, as far as those know who granted the lease in hand.
    doors: Cell<u32>,
    term: Cell<Option<Term>>,
    callers: RefCell<BTreeMap<SocketAddr, Vec<Caller>>>,
    /// No number is given twice under one ballot.
    next: Cell<RegisterNo>,
    /// The last register that was proposed for the operator's orders, certain or not.
    proposed: RefCell<Option<Register>>,
    leaving: Cell<bool>,
    /// The configuration of the register in hand, read once.
    config: RefCell<(RegisterNo, Option<Rc<Config>>)>,
}

impl Office {
    pub fn start(
        me: SocketAddr,
        voters: Vec<SocketAddr>,
        voter: Voter,
        disk: Disk,
        feed: Feed,
        premises: Premises,
    ) -> Rc<Office> {
        let (commands, heard) = mpsc::unbounded_channel();
        let steady = feed.steady;
        let office = Rc::new(Office {
            me,
            feed,
            premises,
            steady,
            voter: RefCell::new(voter),
            founders: voters,
            commands,
            doors: Cell::new(0),
            term: Cell::new(None),
            callers: RefCell::default(),
            next: Cell::new(RegisterNo(0)),
            proposed: RefCell::default(),
            leaving: Cell::new(false),
            config: RefCell::default(),
        });
        tokio::task::spawn_local(Rc::clone(&office).own(heard, disk));
        tokio::task::spawn_local(Rc::clone(&office).seek());
        office
    }

    fn now(&self) -> At {
        self.steady.now()
    }

    /// By the newest register that this process has, settled or not.
    pub fn voters(&self) -> Vec<SocketAddr> {
        let (voter, store) = (self.voter.borrow(), self.feed.store());
        let settled = store.register.as_deref().filter(|register| register.rank() > voter.register().rank());
        self.voters_of(settled.unwrap_or(voter.register()))
    }

    fn voters_of(&self, register: &Register) -> Vec<SocketAddr> {
        if register.voters.is_empty() { self.founders.clone() } else { register.voters.clone() }
    }

    /// Whether this process holds the lease now and may act by it.
    pub fn holds(&self) -> bool {
        let now = self.now();
        self.term.get().is_some_and(|term| term.settled && term.until > now)
    }

    /// What the register in hand says.
    pub fn config(&self) -> Option<Rc<Config>> {
        let register = self.feed.store().register.clone();
        let mut read = self.config.borrow_mut();
        if let Some(register) = register.filter(|register| register.no != read.0) {
            let config = register.config.as_ref().and_then(|config| Config::of(config.get().as_bytes()).ok());
            *read = (register.no, config.map(Rc::new));
        }
        read.1.clone()
    }

    pub fn ballot(&self) -> Ballot {
        self.term.get().map_or(Ballot(0), |term| term.ballot)
    }

    /// The holder's office, as far as this process knows.
    pub fn holder(&self) -> Option<SocketAddr> {
        let now = self.now();
        if self.holds() {
            return Some(self.me);
        }
        let other = |holder: &SocketAddr| *holder != self.me;
        self.voter.borrow().holder(now).filter(other).or(self.feed.store().holder.filter(other))
    }

    /// The voter hears one request after the other; what a vote promises is on disk before it is said.
    async fn own(self: Rc<Self>, mut heard: mpsc::UnboundedReceiver<Command>, disk: Disk) {
        while let Some(command) = heard.recv().await {
            let (vote_request, reply) = match command {
                Command::Hear(vote_request, reply) => (vote_request, reply),
                Command::Count(doors) => {
                    let save = self.voter.borrow_mut().count(doors);
                    if let Some(save) = save
                        && let Err(error) = self.save(&disk, &save).await
                    {
                        spdlog::warn!("the count of doors is not on disk: {}", error);
                    }
                    continue;
                }
            };
            let step = self.voter.borrow_mut().hear(vote_request, self.now());
            let mut vote = step.vote;
            if let Some(save) = step.save {
                match self.save(&disk, &save).await {
                    Ok(()) => self.voter.borrow_mut().saved(save),
                    Err(error) => {
                        spdlog::warn!("nothing is promised to, as the disk takes nothing: {}", error);
                        vote = Vote::Unable;
                    }
                }
            }
            let _ = reply.send(vote);
        }
    }

    async fn save(&self, disk: &Disk, save: &Save) -> std::io::Result<()> {
        match save {
            Save::Promise(promised) => {
                let promised = Promise { voters: self.founders.clone(), ..promised.clone() };
                disk.save(Record::Promise, &promised).await
            }
            Save::Register(register) => disk.save(Record::Register, register).await,
        }
    }

    /// This process' own voter.
    pub async fn cast(&self, vote_request: VoteRequest) -> Vote {
        let (reply, vote) = oneshot::channel();
        if self.commands.send(Command::Hear(vote_request, reply)).is_err() {
            return Vote::Unable;
        }
        vote.await.unwrap_or(Vote::Unable)
    }

    /// Quotas are divided by so many doors: kept, so that a holder after the loss of all processes knows.
    pub fn count(&self, doors: u32) {
        if doors != self.voter.borrow().doors() {
            // The owner ends with the program only.
            let _ = self.commands.send(Command::Count(doors));
        }
    }

    /// By how many doors, as far as those know who granted the lease in hand.
    pub fn doors(&self) -> u32 {
        self.doors.get()
    }

    async fn ask(&self, voter: SocketAddr, vote_request: &VoteRequest, within: Duration) -> Option<Vote> {
        if voter == self.me {
            return timeout(within, self.cast(vote_request.clone())).await.ok();
        }
        let kept = self.callers.borrow_mut().get_mut(&voter).and_then(Vec::pop);
        let mut caller = kept.unwrap_or_else(|| Caller::to(voter, &self.premises.net));
        let vote = caller.ask("/vote", vote_request, within).await.ok();
        if vote.is_some() {
            self.callers.borrow_mut().entry(voter).or_default().push(caller);
        }
        vote
    }

    /// Asks these voters at once; ends with a majority's assent, or when all have spoken.
    async fn poll(
        self: &Rc<Self>,
        voters: &[SocketAddr],
        vote_request: VoteRequest,
        within: Duration,
    ) -> Vec<(SocketAddr, Vote)> {
        let (said, mut votes) = mpsc::unbounded_channel();
        for &voter in voters {
            let (office, vote_request, said) = (Rc::clone(self), vote_request.clone(), said.clone());
            tokio::task::spawn_local(async move {
                let _ = said.send((voter, office.ask(voter, &vote_request, within).await));
            });
        }
        drop(said);
        let mut all = Vec::new();
        while let Some((voter, vote)) = votes.recv().await {
            all.extend(vote.map(|vote| (voter, vote)));
            if carries(voters, assents(&all)) {
                break;
            }
        }
        all
    }

    /// Tries for the lease whenever nobody holds it.
    async fn seek(self: Rc<Self>) {
        let mut seen = Ballot(0);
        loop {
            let place = self.voters().iter().position(|voter| *voter == self.me);
            let chance = self.premises.draw(60);
            let Some(place) = place else {
                sleep(WATCH * 5).await;
                continue;
            };
            sleep(WATCH / 2).await;
            if !self.voter.borrow().vacant(self.now()) || self.leaving.get() {
                continue;
            }
            sleep(STAGGER * place as u32 + Duration::from_millis(chance)).await;
            if !self.voter.borrow().vacant(self.now()) {
                continue;
            }
            let ballot = above(seen.max(self.voter.borrow().promised()), self.me);
            let asked = self.now();
            let vote_request = VoteRequest::Lease { ballot, holder: self.me };
            let mut set = self.voters();
            let mut votes = self.poll(&set, vote_request.clone(), QUICK).await;
            let newest = |votes: &[(SocketAddr, Vote)]| {
                let words = votes.iter().filter_map(|(_, vote)| match vote {
                    Vote::Granted { register, .. } => Some(register),
                    _ => None,
                });
                words.max_by_key(|register| register.rank()).cloned().unwrap_or_else(Register::none)
            };
            let mut found = newest(&votes);
            // The register that is found may have other voters: their majority is needed, too.
            while carries(&set, assents(&votes)) && self.voters_of(&found) != set {
                set = self.voters_of(&found);
                let others: Vec<_> = set
                    .iter()
                    .copied()
                    .filter(|voter| !votes.iter().any(|(asked, _)| asked == voter))
                    .collect();
                votes.extend(self.poll(&others, vote_request.clone(), QUICK).await);
                found = newest(&votes);
            }
            let refused = votes.iter().filter_map(|(_, vote)| match vote {
                Vote::Refused { promised, .. } => Some(*promised),
                _ => None,
            });
            seen = refused.max().unwrap_or_default().max(seen);
            if !carries(&set, assents(&votes)) {
                self.poll(&set, VoteRequest::Release { ballot }, QUICK).await;
                sleep(Duration::from_millis(50 + self.premises.draw(200))).await;
                continue;
            }
            let doors = votes.iter().filter_map(|(_, vote)| match vote {
                Vote::Granted { doors, .. } => Some(*doors),
                _ => None,
            });
            self.doors.set(doors.max().unwrap_or(0));
            self.term.set(Some(Term { ballot, until: asked.after(TERM - MARGIN), settled: false }));
            self.hold(ballot, found).await;
            self.term.set(None);
            spdlog::info!("the lease under ballot {} has ended", ballot.0);
            self.poll(&self.voters(), VoteRequest::Release { ballot }, QUICK).await;
        }
    }

    /// Holds on for as long as a majority renews; stops before the lease ends.
    async fn hold(self: &Rc<Self>, ballot: Ballot, found: Register) {
        spdlog::info!("holds the lease under ballot {}, found register {}", ballot.0, found.no.0);
        self.next.set(RegisterNo(found.no.0 + 1));
        let settling = {
            let office = Rc::clone(self);
            tokio::task::spawn_local(async move {
                let register = Register { ballot, ..found };
                if register.no == RegisterNo(0) || office.kept(&register).await {
                    office.settle(register);
                }
            })
        };
        loop {
            sleep(RENEWED).await;
            if self.leaving.get() {
                break;
            }
            let asked = self.now();
            let set = self.voters();
            let votes = self.poll(&set, VoteRequest::Renew { ballot, holder: self.me }, QUICK).await;
            let higher = |(_, vote): &(SocketAddr, Vote)| matches!(vote, Vote::Refused { promised, .. } if *promised > ballot);
            if carries(&set, assents(&votes)) {
                let settled = self.term.get().is_some_and(|term| term.settled);
                self.term.set(Some(Term { ballot, until: asked.after(TERM - MARGIN), settled }));
            } else if votes.iter().any(higher) {
                break;
            }
            if self.term.get().is_none_or(|term| term.until <= self.now()) {
                break;
            }
        }
        settling.abort();
    }

    fn settle(&self, register: Register) {
        let Some(term) = self.term.get().filter(|term| term.ballot == register.ballot) else {
            return;
        };
        self.term.set(Some(Term { settled: true, ..term }));
        let me = self.me;
        self.feed.change(|store| {
            store.holder = Some(me);
            store.set_register(Rc::new(register));
            true
        });
    }

    /// Whether a majority has it on disk, of the voters before it and of those that it names; tried again and again
    /// until then, or the lease ends.
    async fn kept(self: &Rc<Self>, register: &Register) -> bool {
        let (before, after) = (self.voters(), self.voters_of(register));
        let voters: BTreeSet<_> = before.iter().chain(&after).copied().collect();
        let no = register.no;
        let (said, mut votes) = mpsc::unbounded_channel();
        let mut trying = Vec::new();
        for &voter in &voters {
            let (office, vote_request, said) =
                (Rc::clone(self), VoteRequest::Accept { register: register.clone() }, said.clone());
            trying.push(tokio::task::spawn_local(async move {
                loop {
                    let kept = match office.ask(voter, &vote_request, SLOW).await {
                        Some(Vote::Accepted) => true,
                        Some(Vote::Refused { .. }) => false,
                        _ if office.superseded(no) => return,
                        _ => {
                            sleep(AGAIN).await;
                            continue;
                        }
                    };
                    // Where nobody counts any more it is known already.
                    let _ = said.send((voter, kept));
                    return;
                }
            }));
        }
        drop(said);
        let (mut kept, mut refused) = (BTreeSet::new(), BTreeSet::new());
        let carried =
            |kept: &BTreeSet<SocketAddr>| carries(&before, kept.iter()) && carries(&after, kept.iter());
        let counting = async {
            while let Some((voter, yes)) = votes.recv().await {
                if yes {
                    kept.insert(voter)
                } else {
                    refused.insert(voter)
                };
                let hopeless = |set: &[SocketAddr]| {
                    let against = set.iter().filter(|voter| refused.contains(voter)).count();
                    against > set.len() - majority(set.len())
                };
                if carried(&kept) || hopeless(&before) || hopeless(&after) {
                    break;
                }
            }
        };
        let _ = timeout(KEPT_BY, counting).await;
        // Those that lag behind are told all the same, for as long as one more try lasts.
        tokio::task::spawn_local(async move {
            sleep(SLOW).await;
            trying.iter().for_each(tokio::task::JoinHandle::abort);
        });
        carried(&kept)
    }

    /// What the next register is worked out on. Where one was proposed under the ballot in hand, that is in the way to a
    /// majority and may come to be in force: the next one holds what it changed.
    pub fn newest(&self) -> Register {
        let settled = self.feed.store().register.clone();
        let settled = settled.as_deref().cloned().unwrap_or_else(Register::none);
        let ballot = self.ballot();
        let proposed = self.proposed.borrow();
        let newer = |register: &&Register| register.ballot == ballot && register.rank() > settled.rank();
        proposed.as_ref().filter(newer).cloned().unwrap_or(settled)
    }

    /// Whether it is what a majority has, and nobody else can have changed it since.
    pub fn certain(&self, register: &Register) -> bool {
        let store = self.feed.store();
        let settled = store.register.as_deref().map_or((Ballot(0), RegisterNo(0)), Register::rank);
        self.holds() && settled == register.rank()
    }

    fn numbered(&self, register: Register) -> Option<Register> {
        let term = self.term.get().filter(|_| self.holds())?;
        let no = self.next.get();
        self.next.set(RegisterNo(no.0 + 1));
        Some(Register { ballot: term.ballot, no, ..register })
    }

    /// Gives a register its number under the ballot in hand; it is to be kept now.
    pub fn propose(&self, register: Register) -> Option<Register> {
        let register = self.numbered(register)?;
        *self.proposed.borrow_mut() = Some(register.clone());
        Some(register)
    }

    /// Makes what was proposed the one in force; false where it is not certain to be.
    pub async fn keep(self: &Rc<Self>, register: Register) -> bool {
        if !self.kept(&register).await || !self.holds() || self.ballot() != register.ballot {
            return false;
        }
        self.feed.change(|store| store.set_register(Rc::new(register)));
        true
    }

    /// A later one was proposed, which holds all that this one does.
    fn superseded(&self, no: RegisterNo) -> bool {
        self.next.get().0 > no.0 + 1
    }

    /// Makes a register the one in force; false where it is not certain to be. For changes of the set of voters, with
    /// no round under way: one that is not certain is not worked on.
    pub async fn acknowledge(self: &Rc<Self>, change: impl FnOnce(&Register) -> Register) -> bool {
        match self.numbered(change(&self.newest())) {
            Some(register) => self.keep(register).await,
            None => false,
        }
    }

    /// Another voter, where there are fewer than are wanted and this one follows.
    pub async fn enlarge(self: &Rc<Self>, one: SocketAddr) -> bool {
        let mut voters = self.voters();
        voters.push(one);
        voters.sort_unstable();
        let enlarged = self.acknowledge(|register| Register { voters, ..register.clone() }).await;
        if enlarged {
            spdlog::info!("{} is a voter now", one);
        }
        enlarged
    }

    /// One voter less; it must not be this process, which could not renew its own lease then.
    pub async fn dismiss(self: &Rc<Self>, one: SocketAddr) -> bool {
        let voters: Vec<_> = self.voters().into_iter().filter(|voter| *voter != one).collect();
        let dismissed =
            one != self.me && self.acknowledge(|register| Register { voters, ..register.clone() }).await;
        if dismissed {
            spdlog::info!("{} is no voter any more", one);
        }
        dismissed
    }

    /// What the holder made known is kept here too, where it is newer than what this disk has.
    pub async fn adopt(&self) {
        let register = self.feed.store().register.clone();
        let newer = |register: &Rc<Register>| register.rank() > self.voter.borrow().register().rank();
        if let Some(register) = register.filter(newer) {
            self.cast(VoteRequest::Accept { register: Register::clone(&register) }).await;
        }
    }

    /// Gives the lease up, so that nobody has to wait for its end.
    pub async fn leave(self: &Rc<Self>) {
        self.leaving.set(true);
        if let Some(term) = self.term.take() {
            self.poll(&self.voters(), VoteRequest::Release { ballot: term.ballot }, QUICK).await;
        }
    }

    /// Whether this process still holds what was promised to it under that ballot.
    pub fn holds_by(&self, ballot: Ballot) -> bool {
        let now = self.now();
        self.term.get().is_some_and(|term| term.ballot == ballot && term.until > now)
    }

    /// After a restart the one that was promised to may still hold its lease; one that says otherwise need not be waited
    /// for.
    pub async fn inquire(self: Rc<Self>, promised: Promise) {
        let Some(holder) = promised.holder else {
            return;
        };
        let ends = self.now().after(TERM);
        while self.now() < ends {
            let held = if holder == self.me {
                Some(self.holds_by(promised.ballot))
            } else {
                Caller::to(holder, &self.premises.net).ask("/holds", &promised.ballot, QUICK / 3).await.ok()
            };
            match held {
                Some(false) => return self.voter.borrow_mut().released(promised.ballot, self.now()),
                Some(true) => return,
                None => sleep(WATCH / 2).await,
            }
        }
    }

    /// A voter with amnesia asks a majority of voters among the others what they promised and accepted, and promises that again.
    pub async fn recover(self: Rc<Self>, disk: Disk) {
        while self.voter.borrow().amnesic() {
            let others: Vec<_> = self.voters().into_iter().filter(|voter| *voter != self.me).collect();
            let (mut told, mut unable) = (Vec::new(), 0);
            for other in &others {
                match self.ask(*other, &VoteRequest::Recover, QUICK).await {
                    Some(Vote::Known { promised, register }) => told.push((promised, register)),
                    Some(Vote::Unable) => unable += 1,
                    _ => {}
                }
            }
            if enough(&told, unable, others.len(), self.voters().len()) {
                let (ballot, register) = recovered(told);
                let promised = Promise { ballot, holder: None, voters: self.founders.clone(), doors: 0 };
                while !(disk.save(Record::Register, &register).await.is_ok()
                    && disk.save(Record::Promise, &promised).await.is_ok())
                {
                    sleep(AGAIN).await;
                }
                self.voter.borrow_mut().restore(ballot, register, self.now());
                spdlog::warn!("what was forgotten was recovered from {} others", others.len());
            }
            sleep(AGAIN).await;
        }
    }
}
