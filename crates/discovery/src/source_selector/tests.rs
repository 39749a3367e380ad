use super::*;
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(no: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, no], 7600))
}

/// Controllers, the nearest first, some of which are cut off or unresponsive, and what is received through them. Besides them
/// there are peers, from the address 100 on.
struct Network {
    selector: SourceSelector,
    controllers: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    now: Timestamp,
    /// When a source that is cut off was last attested (none: never); one that is not in the map is up to date.
    partitioned: BTreeMap<SocketAddr, Option<Timestamp>>,
    unresponsive: Vec<SocketAddr>,
    /// When the proxy last received what was the newest within a quarter of a second.
    last_update: Timestamp,
    longest_gap: Duration,
    contacted: Vec<SocketAddr>,
}

impl Network {
    fn new(controllers: u8, peers: u8) -> Network {
        Network {
            selector: SourceSelector::default(),
            controllers: (1..=controllers).map(address).collect(),
            peers: (100..100 + peers).map(address).collect(),
            now: START,
            partitioned: BTreeMap::new(),
            unresponsive: Vec::new(),
            last_update: START,
            longest_gap: Duration::ZERO,
            contacted: Vec::new(),
        }
    }

    /// One pull, or the pause where no source is left. A source that is up to date has an update at once: the worst is the
    /// time that the others take.
    fn step(&mut self) {
        let Some(SourceChoice { source, wait }) =
            self.selector.choose_next(&self.controllers, &self.peers, self.now)
        else {
            self.now = self.now.after(ms(60));
            return;
        };
        self.contacted.push(source);
        if self.unresponsive.contains(&source) {
            self.now = self.now.after(ms(400));
            self.selector.record_failure(source, &self.peers, self.now);
            self.now = self.now.after(ms(60));
            return;
        }
        let (attested_at, elapsed) = match self.partitioned.get(&source) {
            Some(since) => (*since, wait + ms(40)),
            None => (Some(self.now), wait.min(ms(80)) + ms(40)),
        };
        self.now = self.now.after(elapsed);
        if !self.partitioned.contains_key(&source) {
            self.longest_gap = self.longest_gap.max(self.now.since(self.last_update));
            self.last_update = self.now;
        }
        if !self.selector.record_answer(source, attested_at, &self.peers, self.now) {
            self.now = self.now.after(ms(60));
        }
    }

    fn steps_until(&mut self, until: Duration) {
        while self.now < START.after(until) {
            self.step();
        }
    }
}

/// Twenty seconds in which some of the nearest are cut off or unresponsive: the longest time without an update, from 4 s
/// after the fault began.
#[parameterized(
    one_of_three_lagging = { 3, 1, 0, 200 },
    two_of_five_lagging = { 5, 2, 0, 350 },
    six_of_thirteen_lagging = { 13, 6, 0, 900 },
    one_of_three_unresponsive = { 3, 0, 1, 650 },
    two_of_five_unresponsive = { 5, 0, 2, 1100 },
    one_lagging_and_one_unresponsive = { 5, 1, 1, 800 },
    six_of_thirteen_unresponsive = { 13, 0, 6, 2950 },
)]
fn sources_cut_off_nearby_delay_updates_for_no_longer(
    controllers: u8,
    partitioned: u8,
    unresponsive: u8,
    max_ms: u64,
) {
    let mut network = Network::new(controllers, 3);
    network.steps_until(ms(1000));
    let since = network.now;
    network.partitioned.extend((1..=partitioned).map(|no| (address(no), Some(since))));
    network.unresponsive.extend((partitioned + 1..=partitioned + unresponsive).map(address));
    network.steps_until(ms(5000));
    network.longest_gap = Duration::ZERO;
    network.contacted.clear();
    network.steps_until(ms(24_000));
    network.longest_gap = network.longest_gap.max(network.now.since(network.last_update));
    assert!(network.longest_gap <= ms(max_ms), "{:?}", network.longest_gap);
    // Each of them is tried again, as it may have recovered, and less and less often.
    let attempts = network.contacted.iter().filter(|source| **source == address(1)).count();
    assert!((1..=3).contains(&attempts), "{attempts}");
}

#[test]
fn a_source_that_recovers_is_used_again() {
    let mut network = Network::new(3, 0);
    network.partitioned.insert(address(1), Some(START));
    network.steps_until(ms(20_000));
    network.partitioned.clear();
    network.steps_until(ms(33_000));
    assert_eq!(network.contacted.last(), Some(&address(1)));
}

/// Lagging sources are contacted in turn, so that the first one to be up to date again is found.
#[test]
fn lagging_sources_are_contacted_in_turn() {
    let mut network = Network::new(3, 0);
    network.steps_until(ms(500));
    network.partitioned.extend((1..=3).map(|no| (address(no), Some(START))));
    network.steps_until(ms(9000));
    network.partitioned.remove(&address(3));
    let since = network.now;
    network.steps_until(ms(10_000));
    assert!(network.last_update.since(since) > ms(0), "the third is found");
    assert!(network.longest_gap < ms(9500), "{:?}", network.longest_gap);
}

#[test]
fn while_the_system_starts_the_nearest_controller_is_waited_for() {
    let mut network = Network::new(3, 0);
    network.partitioned.extend((1..=3).map(|no| (address(no), None)));
    network.steps_until(ms(2000));
    assert_eq!(network.contacted.iter().skip(3).find(|source| **source != address(1)), None);
}

#[test]
fn updates_come_through_a_peer_while_controllers_still_receive_reports() {
    let mut network = Network::new(3, 2);
    network.partitioned.extend((1..=3).map(|no| (address(no), Some(START))));
    network.partitioned.insert(address(100), Some(START));
    network.steps_until(ms(3500));
    network.longest_gap = Duration::ZERO;
    network.contacted.clear();
    network.steps_until(ms(20_000));
    assert!(network.longest_gap < ms(900), "{:?}", network.longest_gap);
    assert!(network.contacted.contains(&address(101)) && network.contacted.contains(&address(1)));
    // Where all peers are useless too, controllers are contacted between them.
    network.unresponsive = vec![address(100), address(101)];
    network.contacted.clear();
    network.steps_until(ms(30_000));
    let two_peers_in_a_row =
        network.contacted.windows(2).find(|two| two.iter().all(|source| network.peers.contains(source)));
    assert_eq!(two_peers_in_a_row, None);
}
