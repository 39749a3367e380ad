//! State shared by the request handlers and the leaseholder tasks of one controller.
//!
//! All users run on one thread; a `RefCell` is never borrowed across an await point.

use crate::registry_api::HomeRegionsCache;
use crate::replica::Replica;
use crate::roles::token_lending::TokenLender;
use std::cell::RefCell;
use std::rc::Rc;
use vanewharf_config::settings::Settings;
use vanewharf_consensus::FollowerTracker;
use vanewharf_discovery::FleetAggregator;
use vanewharf_protocol::messages::{ControllerEntry, TokenCounts, TokenLeaseReport, Version};
use vanewharf_rpc::Publisher;
use vanewharf_runtime::environment::Environment;

/// Shared state of a controller.
pub struct ControllerState {
    pub replica: Rc<Replica>,
    /// Holds the versioned state that agents and other controllers pull from this process.
    pub publisher: Publisher,
    pub environment: Environment,
    pub settings: Rc<Settings>,
    /// Entry of this controller in the fleet summary.
    pub entry: ControllerEntry,
    /// Aggregates the reports received by this process.
    pub aggregator: RefCell<FleetAggregator>,
    pub token_lender: RefCell<TokenLender>,
    /// Tracks the controllers that pull from this process, and the newest register each has persisted.
    pub followers: RefCell<FollowerTracker>,
    pub home_regions: RefCell<HomeRegionsCache>,
}

impl ControllerState {
    /// Creates the state of a starting process, without reports or followers.
    pub fn new(
        replica: Rc<Replica>,
        publisher: Publisher,
        environment: Environment,
        settings: Rc<Settings>,
    ) -> ControllerState {
        let entry = ControllerEntry { ip: settings.ip, zone: settings.zone.clone() };
        let token_lender = TokenLender::new(
            settings.limits_table.rate_allowance,
            settings.initial_start,
            environment.random_incarnation(),
            publisher.now(),
        );
        ControllerState {
            replica,
            publisher,
            environment,
            settings,
            entry,
            aggregator: RefCell::default(),
            token_lender: RefCell::new(token_lender),
            followers: RefCell::default(),
            home_regions: RefCell::default(),
        }
    }

    /// Returns the version that follows `last` in what the leaseholder publishes. Numbering restarts at 1 under each
    /// ballot.
    pub fn next_version(&self, last: Version) -> Version {
        let ballot = self.replica.ballot();
        Version { ballot, number: if last.ballot == ballot { last.number + 1 } else { 1 } }
    }

    /// Leases tokens to a proxy, within the tenants' quotas. Returns `None` while no configuration is known.
    pub fn lease_tokens(&self, requested: TokenCounts) -> Option<TokenCounts> {
        let config = self.replica.config();
        self.token_lender.borrow_mut().lease(requested, config.as_deref(), self.publisher.now())
    }

    /// Reports the tokens that this process has leased since it started.
    pub fn token_lease_report(&self) -> TokenLeaseReport {
        self.token_lender.borrow().report(self.entry.ip)
    }

    /// Applies the newest fleet summary: the number of proxies, or of token lenders, by which quotas are divided.
    pub fn apply_fleet_summary(&self) {
        let Some(summary) = self.publisher.store().fleet_summary.clone() else {
            return;
        };
        self.replica.record_quota_divisor(summary.quota_divisor);
        let config = self.replica.config();
        self.token_lender.borrow_mut().apply_summary(&summary, config.as_deref(), self.publisher.now());
    }
}
