//! The state that request handlers and singleton roles of one controller share.
//!
//! All of it belongs to one thread: a `RefCell` is never borrowed across an await.

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

/// The state of a controller.
pub struct ControllerState {
    pub replica: Rc<Replica>,
    /// What this process publishes to those that pull from it.
    pub publisher: Publisher,
    pub environment: Environment,
    pub settings: Rc<Settings>,
    /// This controller, as the fleet summary lists it.
    pub entry: ControllerEntry,
    /// The reports that this process has received.
    pub aggregator: RefCell<FleetAggregator>,
    pub token_lender: RefCell<TokenLender>,
    /// The controllers that pull from this process, and how far they have replicated the register.
    pub followers: RefCell<FollowerTracker>,
    pub home_regions: RefCell<HomeRegionsCache>,
}

impl ControllerState {
    /// The state at the start of the process, with no reports received and no followers.
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

    /// The version after `last` of what the leaseholder publishes. Versions start from 1 under each ballot.
    pub fn next_version(&self, last: Version) -> Version {
        let ballot = self.replica.ballot();
        Version { ballot, number: if last.ballot == ballot { last.number + 1 } else { 1 } }
    }

    /// Leases tokens to a proxy, as far as the tenants' quotas allow; `None` while no configuration is known.
    pub fn lease_tokens(&self, requested: TokenCounts) -> Option<TokenCounts> {
        let config = self.replica.config();
        self.token_lender.borrow_mut().lease(requested, config.as_deref(), self.publisher.now())
    }

    /// What this process has leased since it started.
    pub fn token_lease_report(&self) -> TokenLeaseReport {
        self.token_lender.borrow().report(self.entry.ip)
    }

    /// Goes by the newest fleet summary: by how many proxies, or token lenders, quotas are divided.
    pub fn apply_fleet_summary(&self) {
        let Some(summary) = self.publisher.store().fleet_summary.clone() else {
            return;
        };
        self.replica.record_proxy_count(summary.quota_divisor);
        let config = self.replica.config();
        self.token_lender.borrow_mut().apply_summary(&summary, config.as_deref(), self.publisher.now());
    }
}
