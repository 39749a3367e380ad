//! A new leaseholder that cannot commit the register found in its election: because it was suspended after it had won, or
//! because disks refuse writes. In both cases the lease must become free again.

use crate::{READ, READER, leaseholder, send, set_disk_condition, with_cluster};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use vanewharf_system_simulator::cluster::{Cluster, ProgramSelection};
use vanewharf_system_simulator::disk::{DiskCondition, SimulatedDisk};

/// How long after all machines are back the configuration may be unreadable (`recovery`).
const RECOVERY: Duration = Duration::from_secs(15);
/// How long the candidate is suspended; with `VOTER_DOWNTIME` longer than a replication round.
const SUSPENSION: Duration = Duration::from_millis(4950);
/// How long the voter is down.
const VOTER_DOWNTIME: Duration = Duration::from_millis(650);
/// How long after its election a leaseholder that cannot commit may keep the lease: one replication round of 5.5 s, one
/// renewal interval of 0.4 s, and one vote timeout of 0.6 s.
const GIVE_UP_TIME: Duration = Duration::from_millis(6500);
const POLL_INTERVAL: Duration = Duration::from_micros(200);
const REDIRECT: u16 = 307;
/// The kill of the voter is delayed by these multiples of `KILL_DELAY_STEP`, as its vote has to arrive before.
const KILL_DELAYS: std::ops::Range<u32> = 0..24;
const KILL_DELAY_STEP: Duration = Duration::from_micros(500);

/// The two controllers that are left after the leaseholder was killed.
struct ElectionInProgress {
    candidate: usize,
    voter: usize,
}

/// Kills the leaseholder, and waits until another controller campaigns and the third one has persisted its promise.
async fn kill_leaseholder_and_await_promise(cluster: &Cluster) -> ElectionInProgress {
    let former = leaseholder(cluster).await;
    // Writes that are under way must not be taken for votes.
    sleep(Duration::from_secs(2)).await;
    cluster.kill(former, ProgramSelection::All);
    let others: Vec<usize> = (0..cluster.parameters.controllers).filter(|number| *number != former).collect();
    let operations = |number: usize| {
        let disk = cluster.machines[number].disk.as_ref();
        disk.map_or(0, SimulatedDisk::operations)
    };
    let before: Vec<u64> = others.iter().map(|number| operations(*number)).collect();
    let has_written = |position: usize| operations(others[position]) > before[position];
    while !(has_written(0) || has_written(1)) {
        sleep(POLL_INTERVAL).await;
    }
    // A candidate persists its own vote before it requests another one.
    let candidate = usize::from(!has_written(0));
    while !has_written(1 - candidate) {
        sleep(POLL_INTERVAL).await;
    }
    ElectionInProgress { candidate: others[candidate], voter: others[1 - candidate] }
}

/// Whether the configuration can be read in time after the voter was killed `delay` after its promise, and the candidate
/// was suspended for longer than what remained of its replication round.
async fn recovers_from_suspension(cluster: &Cluster, delay: Duration) -> bool {
    let election = kill_leaseholder_and_await_promise(cluster).await;
    sleep(delay).await;
    cluster.kill(election.voter, ProgramSelection::All);
    sleep(VOTER_DOWNTIME).await;
    cluster.freeze(election.candidate);
    cluster.start_machine(election.voter);
    sleep(SUSPENSION).await;
    cluster.resume(election.candidate);
    timeout(RECOVERY, leaseholder(cluster)).await.is_ok()
}

/// Guards against a lease that expired during a suspension, was renewed nevertheless, and served nothing for ever.
#[test]
fn a_candidate_that_is_suspended_before_it_commits_does_not_block_the_lease() {
    let blocked = Rc::new(RefCell::new(Vec::new()));
    for step in KILL_DELAYS {
        let delay = KILL_DELAY_STEP * step;
        let blocked = Rc::clone(&blocked);
        with_cluster(u64::from(step), |cluster| async move {
            if !recovers_from_suspension(&cluster, delay).await {
                blocked.borrow_mut().push(delay);
            }
        });
    }
    let blocked = blocked.take();
    assert!(
        blocked.is_empty(),
        "nothing can be read where the voter is killed {blocked:?} after its promise"
    );
}

/// Guards against a leaseholder that renews its lease for ever although disks refuse the register of its election.
#[test]
fn a_leaseholder_that_cannot_commit_gives_the_lease_up_in_time() {
    for seed in 0..6 {
        with_cluster(seed, |cluster| async move {
            let election = kill_leaseholder_and_await_promise(&cluster).await;
            let both = [election.candidate, election.voter];
            both.into_iter().for_each(|number| set_disk_condition(&cluster, number, DiskCondition::Full));
            sleep(Duration::from_secs(1)).await;
            let status = async || {
                let response = send(&cluster, READER, election.voter, READ, "").await;
                response.map(|response| response.status)
            };
            assert_eq!(status().await, Some(REDIRECT), "seed {seed}: the voter has granted the lease");
            sleep(GIVE_UP_TIME).await;
            assert_ne!(status().await, Some(REDIRECT), "seed {seed}: the lease is still held");
            both.into_iter().for_each(|number| set_disk_condition(&cluster, number, DiskCondition::Healthy));
            let recovered = timeout(RECOVERY, leaseholder(&cluster)).await;
            assert!(recovered.is_ok(), "seed {seed}: nothing can be read after the disks are healthy");
        });
    }
}
