//! Reports that wait to be sent with the next pull: the local proxy's own, and those of proxies whose agents pull from
//! this one because they reach no controller.

use std::collections::BTreeMap;
use std::time::Duration;
use vanewharf_clock::Timestamp;
use vanewharf_protocol::messages::ProxyReport;

/// A report older than this is not sent: its proxy is gone, or reports elsewhere. A proxy makes one with each pull, of
/// which it makes several per second.
const MAX_REPORT_AGE: Duration = Duration::from_millis(800);

/// Reports of other proxies that are relayed at once: a few peers' worth, so that a cut-off region does not load one agent.
const MAX_RELAYED_REPORTS: usize = 8;

/// A report, and when it was made by this machine's clock.
#[derive(Clone, Debug)]
struct TimedReport {
    report: ProxyReport,
    made_at: Timestamp,
}

impl TimedReport {
    fn new(report: ProxyReport, now: Timestamp) -> TimedReport {
        let made_at = now.before(Duration::from_millis(report.age_ms));
        TimedReport { report, made_at }
    }

    fn age(&self, now: Timestamp) -> Duration {
        now.since(self.made_at)
    }

    fn is_current(&self, now: Timestamp) -> bool {
        self.age(now) < MAX_REPORT_AGE
    }

    /// The report as it is to be sent now.
    fn with_current_age(&self, now: Timestamp) -> ProxyReport {
        ProxyReport { age_ms: self.age(now).as_millis() as u64, ..self.report.clone() }
    }
}

/// The newest report of each proxy.
#[derive(Debug, Default)]
pub(crate) struct ReportStore {
    local: Option<TimedReport>,
    /// By the proxy's name.
    relayed: BTreeMap<String, TimedReport>,
}

impl ReportStore {
    /// Records a report of the local proxy.
    pub(crate) fn record_local(&mut self, report: ProxyReport, now: Timestamp) {
        self.local = Some(TimedReport::new(report, now));
    }

    /// Records reports of other proxies, as many as there is room for.
    pub(crate) fn record_relayed(&mut self, reports: &[ProxyReport], now: Timestamp) {
        self.relayed.retain(|_, report| report.is_current(now));
        let room = MAX_RELAYED_REPORTS.saturating_sub(self.relayed.len());
        for report in reports.iter().take(room) {
            self.relayed.insert(report.proxy.name.clone(), TimedReport::new(report.clone(), now));
        }
    }

    /// The current reports, the local proxy's first; of the same proxy never two.
    pub(crate) fn current(&self, now: Timestamp) -> Vec<ProxyReport> {
        let local = self.local.as_ref().filter(|report| report.is_current(now));
        let local_name = local.map(|report| &report.report.proxy.name);
        let relayed = self.relayed.iter().filter(|(name, _)| Some(*name) != local_name);
        let relayed = relayed.map(|(_, report)| report).filter(|report| report.is_current(now));
        local.into_iter().chain(relayed).map(|report| report.with_current_age(now)).collect()
    }
}

#[cfg(test)]
mod tests;
