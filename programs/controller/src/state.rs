//! State that request handlers and roles share.

use crate::registry_api::Homes;
use crate::replica::Replica;
use crate::roles::token_lender::TokenLender;
use std::cell::RefCell;
use std::rc::Rc;
use vanewharf_config::settings::Settings;
use vanewharf_consensus::FollowerTracker;
use vanewharf_discovery::FleetAggregator;
use vanewharf_protocol::messages::{ControllerEntry, Revision, Version};
use vanewharf_rpc::Publisher;
use vanewharf_runtime::environment::Environment;

pub struct ControllerState {
    pub replica: Rc<Replica>,
    pub feed: Publisher,
    pub premises: Environment,
    pub sums: Rc<RefCell<FleetAggregator>>,
    pub row: ControllerEntry,
    pub settings: Rc<Settings>,
    /// The homes of hosts, by the register that they were taken from.
    pub hosts: RefCell<(Revision, Rc<Homes>)>,
    /// The tokens that this process lends, and by which quotas.
    pub lending: RefCell<TokenLender>,
    /// Who follows this process, and keeps up.
    pub following: RefCell<FollowerTracker>,
}

impl ControllerState {
    pub fn version(&self, last: Version) -> Version {
        let ballot = self.replica.ballot();
        Version { ballot, number: if last.ballot == ballot { last.number + 1 } else { 1 } }
    }
}
