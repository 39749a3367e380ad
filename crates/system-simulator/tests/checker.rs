//! The checker can fail: it sees what is planted in runs of the real programs, and what it excuses is no more than it says.
//! Time is simulated.

use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;
use vanewharf_system_simulator::checker::{Observation, Rule, check};
use vanewharf_system_simulator::cluster::{FaultRecord, FaultScope};
use vanewharf_system_simulator::disk::UnsyncedData;
use vanewharf_system_simulator::ground_truth::GroundTruth;
use vanewharf_system_simulator::history::{
    ClientRequest, Command, CommandRecord, ConfigurationRead, FinalState, History, ReplicaVersion,
};
use vanewharf_system_simulator::outcome::RunOutcome;
use vanewharf_system_simulator::schedule::{
    CommandTemplate, FaultKind, FaultTrigger, MachineSelector, Schedule, ScheduledCommand, ScheduledFault,
};
use vanewharf_system_simulator::scheduled_run::{simulate_schedule, simulate_tampered_schedule};
use vanewharf_system_simulator::topology::SimulationParameters;

/// When the last configuration is sent, in seconds; the faults follow its acknowledgement.
const LAST_CHANGE_S: f64 = 14.0;

fn replace_at(at: f64) -> ScheduledCommand {
    let command = CommandTemplate::Replace { extra_routes: 0, revoke_key: false, bodies: 1 };
    ScheduledCommand { at, command, repeat_after: None }
}

fn fault(at: f64, span: f64, kind: FaultKind, machines: &[usize], trigger: FaultTrigger) -> ScheduledFault {
    let machines = machines.iter().copied().map(MachineSelector::Number).collect();
    ScheduledFault { at, span, kind, machines, seeds: Vec::new(), trigger }
}

/// Three controllers; the last change is acknowledged while these faults' time has come.
fn schedule(faults: Vec<ScheduledFault>) -> Schedule {
    Schedule {
        name: "planted".to_owned(),
        seed: 11,
        parameters: SimulationParameters {
            controllers: 3,
            proxies: 2,
            seconds: 10,
            requests_per_second: 5,
            max_faults: 0,
        },
        spares: 0,
        clock_drift: 0.0,
        acknowledgement_loss: 0.0,
        erratic: false,
        commands: vec![replace_at(9.0), replace_at(10.0), replace_at(LAST_CHANGE_S)],
        faults,
    }
}

fn rules(outcome: &RunOutcome) -> BTreeSet<Rule> {
    outcome.violations.iter().map(|violation| violation.rule).collect()
}

/// Controller 2 is cut off from before the last change until after the loss, which comes with its acknowledgement.
fn losses_beside_a_cut(on_acknowledgement: Vec<(FaultKind, usize)>) -> Schedule {
    let cut = FaultKind::Partition { proxies: Vec::new() };
    let mut faults = vec![fault(LAST_CHANGE_S - 2.0, 6.0, cut, &[2], FaultTrigger::Time)];
    for (kind, machine) in on_acknowledgement {
        let trigger = FaultTrigger::NextAcknowledgement;
        faults.push(fault(LAST_CHANGE_S - 0.1, 1.0, kind, &[machine], trigger));
    }
    schedule(faults)
}

#[test]
fn a_lost_disk_beside_a_cut_and_a_loss_of_power_loses_nothing() {
    for unsynced in [UnsyncedData::Lost, UnsyncedData::Torn(3)] {
        let losses = vec![(FaultKind::DiskLoss, 0), (FaultKind::PowerLoss(unsynced), 1)];
        let outcome = simulate_schedule(&losses_beside_a_cut(losses));
        assert!(outcome.violations.is_empty(), "{:#?}", outcome.violations);
        assert_eq!(
            outcome.acknowledged, 4,
            "the change whose acknowledgement the losses follow, among others"
        );
    }
}

#[test]
fn an_acknowledged_register_that_one_disk_drops_is_missed_where_the_other_copy_is_lost() {
    let losses = vec![(FaultKind::DiskLoss, 0), (FaultKind::DiskRollback, 1)];
    let outcome = simulate_schedule(&losses_beside_a_cut(losses));
    assert!(rules(&outcome).contains(&Rule::Configuration), "{:#?}", outcome.violations);
    assert!(rules(&outcome).contains(&Rule::StaleRead), "{:#?}", outcome.violations);
}

#[test]
fn an_acknowledged_register_that_a_majority_of_the_disks_drops_is_missed() {
    let losses = vec![(FaultKind::DiskRollback, 0), (FaultKind::DiskRollback, 1)];
    let outcome = simulate_schedule(&losses_beside_a_cut(losses));
    assert!(rules(&outcome).contains(&Rule::Configuration), "{:#?}", outcome.violations);
    // The third has it, but is away until the two have agreed on the older one.
    let away = fault(LAST_CHANGE_S - 0.1, 6.0, FaultKind::Kill, &[2], FaultTrigger::NextAcknowledgement);
    let rolled_back = [0, 1].map(|machine| {
        let trigger = FaultTrigger::NextAcknowledgement;
        fault(LAST_CHANGE_S - 0.1, 1.0, FaultKind::DiskRollback, &[machine], trigger)
    });
    let outcome = simulate_schedule(&schedule(rolled_back.into_iter().chain([away]).collect()));
    assert!(rules(&outcome).contains(&Rule::StaleRead), "{:#?}", outcome.violations);
}

#[test]
fn an_answer_from_an_older_store_is_seen_during_a_run_and_at_its_end() {
    let honest = schedule(Vec::new());
    assert!(simulate_schedule(&honest).violations.is_empty());
    let answer_last_read_by_first = |history: &mut History| {
        let oldest = history.configuration_reads[0].text.clone();
        history.configuration_reads.last_mut().expect("there are reads").text = oldest;
    };
    let outcome = simulate_tampered_schedule(&honest, answer_last_read_by_first);
    assert_eq!(rules(&outcome), [Rule::StaleRead].into(), "{:#?}", outcome.violations);
    let answer_final_read_by_first = |history: &mut History| {
        let oldest = history.configuration_reads[0].text.clone();
        history.final_configuration.as_mut().expect("it was read").text = oldest;
    };
    let outcome = simulate_tampered_schedule(&honest, answer_final_read_by_first);
    assert_eq!(rules(&outcome), [Rule::Configuration].into(), "{:#?}", outcome.violations);
    let lose_final_read = |history: &mut History| history.final_configuration = None;
    let outcome = simulate_tampered_schedule(&honest, lose_final_read);
    assert_eq!(rules(&outcome), [Rule::Configuration].into(), "{:#?}", outcome.violations);
}

/// A history of configurations 1 and 2, whose second one is acknowledged at `acknowledged`, in seconds.
struct History1And2 {
    truth: GroundTruth,
    started: Instant,
}

impl History1And2 {
    fn new(acknowledged: f64) -> History1And2 {
        let truth = GroundTruth::new("10.9.0.100:80".parse().expect("an address"));
        let history = History1And2 { truth, started: Instant::now() };
        history.add_command(1, 1.0, 2.0);
        history.add_command(2, 5.0, acknowledged);
        history
    }

    fn at(&self, seconds: f64) -> Instant {
        self.started + Duration::from_secs_f64(seconds)
    }

    fn add_command(&self, revision: u64, sent: f64, acknowledged: f64) {
        let command = Command::ReplaceConfiguration { revision, body: body(revision) };
        let record = CommandRecord::new(command, self.at(sent));
        let record = CommandRecord { acknowledged: Some(self.at(acknowledged)), ..record };
        self.truth.history.borrow_mut().commands.push(record);
    }

    /// The last read, of revision `revision`, is sent at `sent`; the controllers are asked then, too.
    fn read_at_end(self, sent: f64, revision: u64) -> History1And2 {
        let (sent, received) = (self.at(sent), self.at(sent + 0.1));
        let version = Some(ReplicaVersion { register: revision, configuration: revision });
        let state = FinalState { controller: "central-0".to_owned(), requested_at: sent, version };
        let read = ConfigurationRead { sent, received, text: body(revision) };
        {
            let mut history = self.truth.history.borrow_mut();
            history.configuration_reads.push(read.clone());
            history.final_configuration = Some(read);
            history.final_states = vec![state];
        }
        self
    }

    fn rules(&self, faults: &[FaultRecord]) -> BTreeSet<Rule> {
        let observation = Observation {
            ground_truth: &self.truth,
            faults,
            controllers: 3,
            controller_changes: &[],
            started: self.started,
        };
        check(&observation).into_iter().map(|violation| violation.rule).collect()
    }

    fn fault(&self, from: f64, until: f64, scope: FaultScope) -> FaultRecord {
        FaultRecord { started: self.at(from), ended: Some(self.at(until)), scope }
    }
}

fn body(revision: u64) -> String {
    format!("{{\"revision\":\"r{revision}\"}}")
}

/// Found by seed 700255 of three controllers: an acknowledgement that came after a read had been answered.
#[test]
fn a_read_is_judged_by_what_was_acknowledged_before_it_was_sent() {
    assert_eq!(History1And2::new(10.2).read_at_end(10.0, 1).rules(&[]), [].into());
    let missed = [Rule::Configuration, Rule::StaleRead, Rule::Agreement].into();
    assert_eq!(History1And2::new(9.9).read_at_end(10.0, 1).rules(&[]), missed);
    assert_eq!(History1And2::new(9.9).read_at_end(10.0, 2).rules(&[]), [].into());
}

/// Configuration 2 is sent at 5 s and acknowledged at 40 s, while clients send requests: late, unless that is excused.
fn late_acknowledgement() -> History1And2 {
    let history = History1And2::new(40.0).read_at_end(41.0, 2);
    let request = ClientRequest {
        sent: history.at(41.0),
        proxy: 0,
        revision: 2,
        attempt: 1,
        status: Some(200),
        latency: Duration::from_millis(100),
    };
    history.truth.history.borrow_mut().requests.insert(1, request);
    history
}

/// Found by seed 700414 of three controllers: one had lost its disk while it was cut off, and another one was cut off next,
/// so that no majority was together that remembered anything.
#[test]
fn an_acknowledgement_is_not_owed_while_no_majority_has_its_disks_and_in_no_other_case() {
    let history = late_acknowledgement();
    let disk_lost = |at| history.fault(at, at, FaultScope::DiskLost(2));
    let down = |from, until| history.fault(from, until, FaultScope::Down(2));
    let cut = |from, until, machine| history.fault(from, until, FaultScope::Partitioned([machine].into()));
    let late = [Rule::Acknowledgement].into();

    let forgotten = [disk_lost(1.0), down(1.0, 2.0), cut(0.5, 4.0, 2), cut(3.0, 39.0, 0)];
    assert_eq!(history.rules(&forgotten), [].into());
    // The same, but the disk was kept.
    assert_eq!(history.rules(&forgotten[1..]), late);
    // The same, but there were four seconds with both others before the second cut.
    let recovered = [disk_lost(1.0), down(1.0, 2.0), cut(0.5, 2.5, 2), cut(7.0, 39.0, 0)];
    assert_eq!(history.rules(&recovered), late);
    // They were together for less.
    let too_short = [disk_lost(1.0), down(1.0, 2.0), cut(0.5, 2.5, 2), cut(6.0, 39.0, 0)];
    assert_eq!(history.rules(&too_short), [].into());
    // A disk was lost, and the other two controllers are well.
    assert_eq!(history.rules(&[disk_lost(1.0), down(1.0, 2.0)]), late);
    // A disk was lost, and its own machine is the one that is cut off.
    assert_eq!(history.rules(&[disk_lost(1.0), down(1.0, 2.0), cut(0.5, 39.0, 2)]), late);
}
