//! What the system's programs tell each other, as JSON. A reader pulls: it says what it has of each source, and gets what
//! it lacks. Spans are whole milliseconds; an instant never travels, only how long ago it was.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::{IpAddr, SocketAddr};

/// Grows with each holder of a lease that a majority granted; the low bits tell voters' tries apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot(pub u64);

/// The operator's orders in the order in which they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// The operator's register: the newest configuration, as it was sent, and the zones that are to get nothing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Register {
    pub ballot: Ballot,
    pub no: Revision,
    /// Null until the first one has come.
    pub config: Option<Box<RawValue>>,
    pub evacuated: BTreeSet<String>,
    pub membership: Membership,
    /// The last configurations that were taken, in their order; for postmasters alone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub taken: Vec<AcceptedConfig>,
}

/// Who grants leases and keeps the register. A change goes by joint consensus: while there are outgoing voters, a majority
/// of them is needed beside one of the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Goes up at each change; 0: it is not known.
    pub epoch: u64,
    pub voters: Vec<SocketAddr>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outgoing: Vec<SocketAddr>,
}

/// A configuration that was taken: one that is sent again is told by this from another one under its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedConfig {
    pub revision: u64,
    /// Of its text as it was sent.
    pub digest: u64,
}

impl Register {
    pub fn none() -> Register {
        Register {
            ballot: Ballot(0),
            no: Revision(0),
            config: None,
            evacuated: BTreeSet::new(),
            membership: Membership::default(),
            taken: Vec::new(),
        }
    }

    /// All that it says; a configuration by its text.
    fn content(&self) -> (Ballot, Revision, Option<&str>, &BTreeSet<String>, &Membership) {
        let config = self.config.as_ref().map(|config| config.get());
        (self.ballot, self.no, config, &self.evacuated, &self.membership)
    }

    /// Whether the two are alike to a door: its voters are not its business.
    pub fn says_the_same(&self, other: &Register) -> bool {
        let (one, two) = (self.config.as_deref(), other.config.as_deref());
        self.evacuated == other.evacuated && one.map(RawValue::get) == two.map(RawValue::get)
    }

    /// Of two, the one that later holders go by.
    pub fn rank(&self) -> (Ballot, Revision) {
        (self.ballot, self.no)
    }
}

impl PartialEq for Register {
    fn eq(&self, other: &Register) -> bool {
        self.content() == other.content()
    }
}

impl Eq for Register {}

impl Hash for Register {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.content().hash(state);
    }
}

/// A version of what one holder after the other makes known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    pub ballot: Ballot,
    pub no: u64,
}

/// What a reader has of each source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector {
    pub register: Revision,
    pub list: Version,
    pub ledger: Version,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: u32,
    pub draining: bool,
    /// How much longer it is cold, counted from when the list was taken.
    pub cold_ms: u64,
}

/// The platform's list of backends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendList {
    pub version: Version,
    /// How long ago it was taken.
    pub age_ms: u64,
    pub servers: Vec<Backend>,
}

/// A frontend door, as the registry names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyEntry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub region: String,
    pub ready: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControllerEntry {
    pub ip: IpAddr,
    pub zone: String,
}

/// A postmaster that follows the holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Follower {
    pub row: ControllerEntry,
    /// The register on its disk; null while it has amnesia.
    pub kept: Option<(Ballot, Revision)>,
}

/// A tenant's use over all doors, a second, and the sum of the doors' slices of its quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    pub per_s: f64,
    pub slices: f64,
}

/// What is summed and known of the doors.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    pub version: Version,
    pub doors: Vec<ProxyEntry>,
    /// By how many doors what all may do together is divided.
    pub counted: u32,
    pub tenants: BTreeMap<String, TenantUsage>,
    /// By how many postmasters the tenants' quotas are divided, where doors are too many to hold a slice each: then
    /// these hold the slices, and doors borrow. Nothing: doors hold them.
    pub lenders: Option<u32>,
    /// Hosts most of whose requests are on routes with homes.
    pub homed: BTreeSet<String>,
    pub offices: BTreeSet<ControllerEntry>,
    /// Backends that many doors saw failing, each with the part that fails.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ill: BTreeMap<String, f64>,
}

/// What a door says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyReport {
    pub door: ProxyEntry,
    /// Drawn anew at each start: counts begin at nothing then.
    pub life: u64,
    /// How long ago it was made.
    pub age_ms: u64,
    /// By how many doors it was last told that quotas are divided: a holder that has forgotten starts from that.
    #[serde(default)]
    pub counted: u32,
    /// Requests let through since the start, by tenant, and the slices that they were let through by.
    pub let_through: BTreeMap<String, u64>,
    pub slices: BTreeMap<String, f64>,
    /// For each host the requests since the start, and those on routes with homes.
    pub hosts: BTreeMap<String, (u64, u64)>,
    /// Of the backends that failed it lately, how often.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tried: BTreeMap<String, AttemptCounts>,
}

/// Requests that a door sent to a backend lately, and those that failed there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    pub tried: u32,
    pub failed: u32,
}

/// A frontend door, as another one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    pub ip: IpAddr,
    pub region: String,
    /// How long ago it was last heard of.
    pub heard_ms: u64,
}

/// What a postmaster says of the tokens that it lends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenLeaseReport {
    pub ip: IpAddr,
    pub life: u64,
    pub let_through: BTreeMap<String, u64>,
    pub slices: BTreeMap<String, f64>,
}

/// Tokens asked of a lender, or given by it, by tenant.
pub type TokenCounts = BTreeMap<String, u32>;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    pub have: VersionVector,
    /// How long the answer may be held back for something new.
    pub wait_ms: u64,
    /// Who pulls, where it is a postmaster.
    pub office: Option<Follower>,
    /// What that postmaster lends.
    pub lent: Option<TokenLeaseReport>,
    pub reports: Vec<ProxyReport>,
}

/// One entry of a table, or a whole part where no entry is named; without a value it is gone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigEdit {
    pub part: String,
    #[serde(default)]
    pub entry: Option<String>,
    #[serde(default)]
    pub value: Option<Box<RawValue>>,
}

/// From one register to the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegisterChange {
    pub from: Revision,
    pub no: Revision,
    pub ballot: Ballot,
    pub evacuated: BTreeSet<String>,
    pub membership: Membership,
    pub edits: Vec<ConfigEdit>,
    /// Of the text that the configuration has afterwards.
    pub sum: u32,
}

/// From one list to the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BackendListChange {
    pub from: Version,
    pub version: Version,
    /// How long ago the newer one was taken.
    pub age_ms: u64,
    pub set: Vec<Backend>,
    pub gone: Vec<String>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    pub register: Option<Register>,
    /// In place of the register, where the reader is little behind.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub register_changes: Vec<RegisterChange>,
    pub list: Option<BackendList>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub list_changes: Vec<BackendListChange>,
    pub ledger: Option<FleetSummary>,
    /// How long ago the register that the reader now has was certainly the newest acknowledged; null: never known.
    pub sure_ms: Option<u64>,
    /// How long the answer was held back.
    pub held_ms: u64,
    /// The address of the holder's office, where it is known.
    pub holder: Option<SocketAddr>,
}

/// What a would-be holder asks of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoteRequest {
    /// Whether a lease would be granted now. Nothing is promised by it: one that cannot win, as it is cut off, would else
    /// come back with a promise that bars it from all that those decide who hold the lease.
    PreVote { holder: SocketAddr },
    /// For a lease under a ballot of its own.
    Lease { ballot: Ballot, holder: SocketAddr },
    /// To hold on for another term.
    Renew { ballot: Ballot, holder: SocketAddr },
    /// To keep a register, on disk.
    Accept { register: Register },
    /// It wants the lease no more.
    Release { ballot: Ballot },
    /// What the voter has, for a member with amnesia: from then on no vote counts beside the answerer's that the member
    /// cast in an earlier incarnation.
    Recover { member: SocketAddr, incarnation: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vote {
    Granted {
        register: Register,
        /// By how many doors it last knew quotas to be divided; 0: it does not know.
        #[serde(default)]
        doors: u32,
    },
    /// It would grant a lease under a ballot above that.
    Willing {
        promised: Ballot,
    },
    Accepted,
    /// What it has promised and accepted.
    Known {
        promised: Ballot,
        register: Register,
    },
    Refused {
        promised: Ballot,
        holder: Option<SocketAddr>,
    },
    /// A later incarnation of that member has made itself known here.
    Outlived {
        incarnation: u64,
    },
    /// It has forgotten what it promised; the seeds that it was told.
    Amnesic {
        seeds: Vec<SocketAddr>,
    },
    /// Its disk takes nothing.
    Unable,
}

/// A vote, with the incarnation of who casts it, and what that one knows of the others': a vote that a member cast before
/// it lost its disk counts for nothing beside one that was cast by who knows of the loss.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteResponse {
    pub incarnation: u64,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub incarnations: BTreeMap<SocketAddr, u64>,
    pub vote: Vote,
}
