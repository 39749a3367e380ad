//! The voter's owner, and the lease: whoever holds it takes the operator's orders, keeps the ledger and asks the platform
//! for its list. One task owns the voter and works through a queue; one tries for the lease and holds it.

use crate::storage::{Record, Storage};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use vanewharf_clock::{MonotonicClock, Timestamp};
use vanewharf_config::config::Config;
use vanewharf_consensus::election::{
    Canvass, Claim, Election, Keeping, Outcome, Rank, Recovering, Renewal, Renewing, Term, Turn,
};
use vanewharf_consensus::membership::{assents, carries, everyone, towards};
use vanewharf_consensus::voter::{Promise, RENEWED, Save, TERM, Voter, above};
use vanewharf_protocol::messages::{Ballot, Membership, Register, Revision, Vote, VoteRequest, VoteResponse};
use vanewharf_rpc::Publisher;
use vanewharf_rpc::RpcClient;
use vanewharf_runtime::environment::Environment;

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
    Hear(VoteRequest, oneshot::Sender<VoteResponse>),
    /// Quotas are divided by so many doors.
    Count(u32),
    /// What a holder has made known.
    Learn(Rc<Register>),
}

type Commands = mpsc::UnboundedSender<Command>;

/// What all tasks of this process know of the replica.
pub struct Replica {
    pub me: SocketAddr,
    pub feed: Publisher,
    premises: Environment,
    steady: MonotonicClock,
    voter: RefCell<Voter>,
    /// Whom this process was told of at its start, to ask where nothing else is known.
    seeds: Vec<SocketAddr>,
    commands: Commands,
    /// By how many doors, as far as those know who granted the lease in hand.
    doors: Cell<u32>,
    term: Cell<Option<Term>>,
    claim: Cell<Claim>,
    callers: RefCell<BTreeMap<SocketAddr, Vec<RpcClient>>>,
    /// No number is given twice under one ballot.
    next: Cell<Revision>,
    /// The last register that was proposed for the operator's orders, certain or not.
    proposed: RefCell<Option<Register>>,
    leaving: Cell<bool>,
    /// The highest ballot that a voter who was asked has promised to another: below it that one takes part in nothing.
    barred: Cell<Ballot>,
    /// The configuration of the register in hand, read once.
    config: RefCell<(Revision, Option<Rc<Config>>)>,
}

impl Replica {
    pub fn start(
        me: SocketAddr,
        seeds: Vec<SocketAddr>,
        voter: Voter,
        disk: Storage,
        feed: Publisher,
        premises: Environment,
    ) -> Rc<Replica> {
        let (commands, heard) = mpsc::unbounded_channel();
        let steady = feed.steady;
        let replica = Rc::new(Replica {
            me,
            feed,
            premises,
            steady,
            voter: RefCell::new(voter),
            seeds,
            commands,
            doors: Cell::new(0),
            term: Cell::new(None),
            claim: Cell::default(),
            callers: RefCell::default(),
            next: Cell::new(Revision(0)),
            proposed: RefCell::default(),
            leaving: Cell::new(false),
            barred: Cell::default(),
            config: RefCell::default(),
        });
        tokio::task::spawn_local(Rc::clone(&replica).own(heard, disk));
        tokio::task::spawn_local(Rc::clone(&replica).seek());
        replica
    }

    fn now(&self) -> Timestamp {
        self.steady.now()
    }

    /// By the newest register that this process has, settled or not, and which that is.
    fn newest_set(&self) -> (Membership, Rank) {
        let (voter, store) = (self.voter.borrow(), self.feed.store());
        let settled = store.register.as_deref().filter(|register| register.rank() > voter.register().rank());
        let register = settled.unwrap_or(voter.register());
        (register.membership.clone(), register.rank())
    }

    pub fn membership(&self) -> Membership {
        self.newest_set().0
    }

    /// Other control machines to hear from: those who have a say as far as is known here, and the seeds: all who had a say
    /// when this machine was last up may be gone.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut all = everyone(&self.membership());
        all.extend(&self.seeds);
        all.remove(&self.me);
        all.into_iter().collect()
    }

    /// The register on this machine's disk, where it may vote.
    pub fn kept_here(&self) -> Option<(Ballot, Revision)> {
        let voter = self.voter.borrow();
        (!voter.amnesic()).then(|| voter.register().rank())
    }

    /// Whether this process holds the lease now and may act by it.
    pub fn holds(&self) -> bool {
        let now = self.now();
        self.term.get().is_some_and(|term| term.serves(now))
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

    /// The lease holder, as far as this process knows.
    pub fn holder(&self) -> Option<SocketAddr> {
        let now = self.now();
        if self.holds() {
            return Some(self.me);
        }
        let other = |holder: &SocketAddr| *holder != self.me;
        self.voter.borrow().holder(now).filter(other).or(self.feed.store().holder.filter(other))
    }

    /// The voter hears one request after the other; what a vote promises is on disk before it is said.
    async fn own(self: Rc<Self>, mut heard: mpsc::UnboundedReceiver<Command>, disk: Storage) {
        // Nothing is voted by what may be gone with the power.
        while let Err(error) = disk.confirm().await {
            spdlog::warn!("the folder cannot be synced: {}", error);
            sleep(AGAIN).await;
        }
        let mut waiting = VecDeque::new();
        loop {
            let command = match waiting.pop_front() {
                Some(command) => command,
                None => match heard.recv().await {
                    Some(command) => command,
                    None => return,
                },
            };
            let (vote_request, reply) = match command {
                Command::Hear(vote_request, reply) => (vote_request, reply),
                Command::Count(doors) => {
                    let save = self.voter.borrow_mut().count(doors);
                    self.note(&disk, save, "the count of doors");
                    continue;
                }
                Command::Learn(register) => {
                    let save = self.voter.borrow().learn(&register);
                    self.note(&disk, save, "a register that is in force");
                    continue;
                }
            };
            let recovers = matches!(vote_request, VoteRequest::Recover { .. });
            let step = self.voter.borrow_mut().hear(vote_request, self.now());
            let mut vote = step.vote;
            // Nobody's lease waits until a slow disk has taken what another one's recovery wants written down: what is
            // known counts at once, and is told when it is on disk.
            if let Some(save) = step.save.as_ref().filter(|_| recovers).cloned() {
                let (replica, disk) = (Rc::clone(&self), disk.clone());
                tokio::task::spawn_local(async move {
                    let kept = replica.kept_on(&disk, save).await;
                    let cast = replica.voter.borrow().cast(if kept { vote } else { Vote::Unable });
                    let _ = reply.send(cast);
                });
                continue;
            }
            if let Some(save) = step.save {
                let saving = self.kept_on(&disk, save);
                tokio::pin!(saving);
                // A lease that is renewed needs no disk.
                let kept = loop {
                    tokio::select! {
                        biased;
                        kept = &mut saving => break kept,
                        Some(command) = heard.recv() => waiting.extend(self.renewed(command)),
                    }
                };
                if !kept {
                    vote = Vote::Unable;
                }
            }
            let cast = self.voter.borrow().cast(vote);
            let _ = reply.send(cast);
        }
    }

    /// Whether the disk has it now.
    async fn kept_on(&self, disk: &Storage, save: Save) -> bool {
        match self.save(disk, &save).await {
            Ok(()) => self.voter.borrow_mut().saved(save),
            Err(error) => {
                spdlog::warn!("nothing is promised, as the disk takes nothing: {}", error);
                return false;
            }
        }
        true
    }

    /// Answers what asks for another term of a lease that is promised; whatever else it is has to wait.
    fn renewed(&self, command: Command) -> Option<Command> {
        let promised = self.voter.borrow().promised_on_disk();
        match command {
            Command::Hear(request @ VoteRequest::Renew { .. }, reply) if matches!(request, VoteRequest::Renew { ballot, .. } if Some(ballot) == promised) =>
            {
                let step = self.voter.borrow_mut().hear(request, self.now());
                let _ = reply.send(self.voter.borrow().cast(step.vote));
                None
            }
            command => Some(command),
        }
    }

    /// What nobody waits for.
    fn note(self: &Rc<Self>, disk: &Storage, save: Option<Save>, what: &'static str) {
        let Some(save) = save else {
            return;
        };
        let (replica, disk) = (Rc::clone(self), disk.clone());
        tokio::task::spawn_local(async move {
            match replica.save(&disk, &save).await {
                Ok(()) => replica.voter.borrow_mut().saved(save),
                Err(error) => spdlog::warn!("{} is not on disk: {}", what, error),
            }
        });
    }

    async fn save(&self, disk: &Storage, save: &Save) -> std::io::Result<()> {
        match save {
            Save::Promise(promise) => disk.save(Record::Promise, promise).await,
            Save::Register(register) => disk.save(Record::Register, register).await,
        }
    }

    /// This process' own voter.
    pub async fn vote(&self, request: VoteRequest) -> VoteResponse {
        let (reply, cast) = oneshot::channel();
        if self.commands.send(Command::Hear(request, reply)).is_err() {
            return self.voter.borrow().cast(Vote::Unable);
        }
        cast.await.unwrap_or_else(|_| self.voter.borrow().cast(Vote::Unable))
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

    async fn ask(&self, voter: SocketAddr, request: &VoteRequest, within: Duration) -> Option<VoteResponse> {
        let cast = self.asked(voter, request, within).await?;
        if let Vote::Refused { promised, .. } = cast.vote {
            self.barred.set(promised.max(self.barred.get()));
        }
        Some(cast)
    }

    async fn asked(
        &self,
        voter: SocketAddr,
        request: &VoteRequest,
        within: Duration,
    ) -> Option<VoteResponse> {
        if voter == self.me {
            return timeout(within, self.vote(request.clone())).await.ok();
        }
        let kept = self.callers.borrow_mut().get_mut(&voter).and_then(Vec::pop);
        let mut caller = kept.unwrap_or_else(|| RpcClient::to(voter, &self.premises.net));
        let cast = caller.ask("/vote", request, within).await.ok();
        if cast.is_some() {
            self.callers.borrow_mut().entry(voter).or_default().push(caller);
        }
        cast
    }

    /// Asks these at once; ends when what they say decides it, or with nothing once all have spoken or are silent.
    async fn poll<T>(
        self: &Rc<Self>,
        voters: &BTreeSet<SocketAddr>,
        request: VoteRequest,
        mut hear: impl FnMut(SocketAddr, VoteResponse) -> ControlFlow<T>,
    ) -> Option<T> {
        let (said, mut votes) = mpsc::unbounded_channel();
        for &voter in voters {
            let (replica, request, said) = (Rc::clone(self), request.clone(), said.clone());
            tokio::task::spawn_local(async move {
                let _ = said.send((voter, replica.ask(voter, &request, QUICK).await));
            });
        }
        drop(said);
        while let Some((voter, cast)) = votes.recv().await {
            if let Some(ControlFlow::Break(decided)) = cast.map(|cast| hear(voter, cast)) {
                return Some(decided);
            }
        }
        None
    }

    async fn release(self: &Rc<Self>, set: &Membership, ballot: Ballot) {
        let mut votes = Vec::new();
        let request = VoteRequest::Release { ballot };
        self.poll(&everyone(set), request, |voter, cast| {
            votes.push((voter, cast));
            if carries(set, &assents(&votes)) { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
        })
        .await;
    }

    /// Tries for the lease whenever nobody holds it, or when a voter has promised more than the lease in hand.
    async fn seek(self: Rc<Self>) {
        let mut again = false;
        loop {
            let place = self.membership().voters.iter().position(|voter| *voter == self.me);
            let chance = self.premises.draw(60);
            let Some(place) = place else {
                sleep(WATCH * 5).await;
                continue;
            };
            if !std::mem::take(&mut again) {
                sleep(WATCH / 2).await;
                if !self.voter.borrow().vacant(self.now()) || self.leaving.get() {
                    continue;
                }
                sleep(STAGGER * place as u32 + Duration::from_millis(chance)).await;
                if !self.voter.borrow().vacant(self.now()) {
                    continue;
                }
            }
            let (set, known) = self.newest_set();
            let mut canvass = Canvass::begin(set.clone());
            let request = VoteRequest::PreVote { holder: self.me };
            let promised = self.poll(&everyone(&set), request, |voter, cast| canvass.hear(voter, cast)).await;
            let Some(promised) = promised else {
                sleep(Duration::from_millis(50 + self.premises.draw(200))).await;
                continue;
            };
            let ballot = above(promised.max(self.barred.get()).max(self.voter.borrow().promised()), self.me);
            let asked = self.now();
            self.claim.set(Claim::on(ballot));
            let request = VoteRequest::Lease { ballot, holder: self.me };
            let mut ask = everyone(&set);
            let mut election = Election::begin(self.me, set, known);
            let found = loop {
                let hear = |voter, cast| election.hear(voter, cast);
                match self.poll(&ask, request.clone(), hear).await {
                    Some(Outcome::Ask(others)) => ask = others,
                    Some(Outcome::Won(found)) => break Some(*found),
                    Some(Outcome::Left) | None => break None,
                }
            };
            let Some(found) = found.filter(|_| self.claim.get().stands(ballot)) else {
                self.release(election.set(), ballot).await;
                sleep(Duration::from_millis(50 + self.premises.draw(200))).await;
                continue;
            };
            self.doors.set(election.doors());
            self.term.set(Some(Term::won(ballot, asked)));
            again = self.hold(ballot, found).await;
            self.term.set(None);
            spdlog::info!("the lease under ballot {} has ended", ballot.0);
            if !again {
                self.release(&self.membership(), ballot).await;
            }
        }
    }

    /// Holds on for as long as a majority renews; stops before the lease ends. True where it should be had again at once,
    /// under a higher ballot: a voter that has promised one takes no part any more.
    async fn hold(self: &Rc<Self>, ballot: Ballot, found: Register) -> bool {
        spdlog::info!("holds the lease under ballot {}, found register {}", ballot.0, found.no.0);
        self.next.set(Revision(found.no.0 + 1));
        let settling = {
            let replica = Rc::clone(self);
            tokio::task::spawn_local(async move {
                let register = Register { ballot, ..found };
                if register.no == Revision(0) || replica.kept(&register).await {
                    replica.settle(register);
                }
            })
        };
        let again = loop {
            sleep(RENEWED).await;
            // One that has left the set hands the lease over.
            if self.leaving.get() || !self.membership().voters.contains(&self.me) {
                break false;
            }
            if self.renew(ballot).await == Renewal::Overtaken {
                break false;
            }
            if self.term.get().is_none_or(|term| !term.lasts(self.now())) {
                break false;
            }
            if self.barred.get() > ballot {
                spdlog::info!("a voter has promised ballot {}", self.barred.get().0);
                break true;
            }
        };
        settling.abort();
        again
    }

    /// For another term, by all who have a say now.
    async fn renew(self: &Rc<Self>, ballot: Ballot) -> Renewal {
        let (asked, set) = (self.now(), self.membership());
        let request = VoteRequest::Renew { ballot, holder: self.me };
        let mut renewing = Renewing::begin(ballot, set);
        let voters = everyone(renewing.set());
        self.poll(&voters, request, |voter, cast| renewing.hear(voter, cast)).await;
        if !self.claim.get().stands(ballot) {
            return Renewal::Overtaken;
        }
        let outcome = renewing.outcome();
        if outcome == Renewal::Carried
            && let Some(term) = self.term.get().filter(|term| term.ballot == ballot)
        {
            self.term.set(Some(term.renewed(asked)));
        }
        outcome
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

    /// Whether a majority of those that it names has it on disk; tried again and again until then, or the lease ends.
    async fn kept(self: &Rc<Self>, register: &Register) -> bool {
        let named = everyone(&register.membership);
        let voters: BTreeSet<_> = everyone(&self.membership()).union(&named).copied().collect();
        let no = register.no;
        let (said, mut votes) = mpsc::unbounded_channel();
        let mut trying = Vec::new();
        for &voter in &voters {
            let request = VoteRequest::Accept { register: register.clone() };
            let (replica, said) = (Rc::clone(self), said.clone());
            trying.push(tokio::task::spawn_local(async move {
                loop {
                    match replica.ask(voter, &request, SLOW).await {
                        // Where nobody counts any more it is known already.
                        Some(cast) if matches!(cast.vote, Vote::Accepted | Vote::Refused { .. }) => {
                            let _ = said.send((voter, cast));
                            return;
                        }
                        _ if replica.superseded(no) => return,
                        _ => sleep(AGAIN).await,
                    }
                }
            }));
        }
        drop(said);
        let mut keeping = Keeping::begin(register);
        let counting = async {
            while let Some((voter, cast)) = votes.recv().await {
                if let ControlFlow::Break(carried) = keeping.hear(voter, cast) {
                    return carried;
                }
            }
            false
        };
        let carried = timeout(KEPT_BY, counting).await.unwrap_or(false);
        // Those that lag behind are told all the same, for as long as one more try lasts.
        tokio::task::spawn_local(async move {
            sleep(SLOW).await;
            trying.iter().for_each(tokio::task::JoinHandle::abort);
        });
        carried
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
        let settled = store.register.as_deref().map_or((Ballot(0), Revision(0)), Register::rank);
        self.holds() && settled == register.rank()
    }

    fn numbered(&self, register: Register) -> Option<Register> {
        let term = self.term.get().filter(|_| self.holds())?;
        let no = self.next.get();
        self.next.set(Revision(no.0 + 1));
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
    fn superseded(&self, no: Revision) -> bool {
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

    /// The set of the register in force.
    fn settled_set(&self) -> Membership {
        self.feed.store().register.as_ref().map(|register| register.membership.clone()).unwrap_or_default()
    }

    /// Another set of voters by joint consensus: first both sets decide, then the new one alone. A voter leaves only when a
    /// majority of the new set has all that was kept.
    pub async fn reconfigure(self: &Rc<Self>, voters: BTreeSet<SocketAddr>) -> bool {
        // One that a holder before this one began is concluded first.
        while let Some(membership) = towards(&self.settled_set(), &voters) {
            // Between the two the lease is renewed by both sets: a holder that went by votes of the old one alone could
            // be overtaken by one whom the new one elects.
            let concludes = membership.outgoing.is_empty();
            if concludes && self.renew(self.ballot()).await != Renewal::Carried {
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

    /// What the holder made known is kept here too, where it is newer than what this disk has.
    pub fn adopt(&self) {
        let register = self.feed.store().register.clone();
        let newer = |register: &Rc<Register>| register.rank() > self.voter.borrow().register().rank();
        if let Some(register) = register.filter(newer) {
            // The owner ends with the program only.
            let _ = self.commands.send(Command::Learn(register));
        }
    }

    /// Gives the lease up, so that nobody has to wait for its end.
    pub async fn leave(self: &Rc<Self>) {
        self.leaving.set(true);
        if let Some(term) = self.term.take() {
            self.release(&self.membership(), term.ballot).await;
        }
    }

    /// Whether this process still holds what was promised to it under that ballot; where not, it never will.
    pub fn holds_by(&self, ballot: Ballot) -> bool {
        let mut claim = self.claim.get();
        let held = claim.asked(ballot, self.term.get(), self.now());
        self.claim.set(claim);
        held
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
                RpcClient::to(holder, &self.premises.net)
                    .ask("/holds", &promised.ballot, QUICK / 3)
                    .await
                    .ok()
            };
            match held {
                Some(false) => return self.voter.borrow_mut().released(promised.ballot, self.now()),
                Some(true) => return,
                None => sleep(WATCH / 2).await,
            }
        }
    }

    /// A voter with amnesia asks those who have a say what they promised and accepted, and promises that again: a machine
    /// that lost its disk is a new member of its old name until then.
    pub async fn recover(self: Rc<Self>, disk: Storage) {
        let mut recovering = Recovering::begin(self.me, self.seeds.clone(), self.premises.life());
        let mut hear: BTreeSet<_> = self.seeds.iter().copied().filter(|seed| *seed != self.me).collect();
        while self.voter.borrow().amnesic() {
            let incarnation = recovering.incarnation();
            let request = VoteRequest::Recover { member: self.me, incarnation };
            self.poll(&hear, request, |member, cast| {
                recovering.hear(member, cast);
                ControlFlow::<()>::Continue(())
            })
            .await;
            match recovering.turn(self.premises.life()) {
                Turn::Restore(promise, register) => {
                    while !(disk.save(Record::Register, &*register).await.is_ok()
                        && disk.save(Record::Promise, &*promise).await.is_ok())
                    {
                        sleep(AGAIN).await;
                    }
                    let no = register.no;
                    self.voter.borrow_mut().restore(&promise, *register, self.now());
                    spdlog::warn!("recovered register {} from {} others", no.0, recovering.known().len());
                }
                Turn::Ask(others) => {
                    hear = others;
                    // One that counts anew asks anew at once.
                    if recovering.incarnation() == incarnation {
                        sleep(AGAIN).await;
                    }
                }
            }
        }
    }
}
