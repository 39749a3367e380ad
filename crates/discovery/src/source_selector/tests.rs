use super::*;
use yare::parameterized;

const START: Timestamp = Timestamp(1_000_000_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(no: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, no], 7600))
}

/// Postmasters, the nearest first, some of which are cut off or silent, and what is heard through them.
/// Beside them are neighbours, from the address 100 on.
struct Field {
    sources: SourceSelector,
    offices: Vec<SocketAddr>,
    beside: Vec<SocketAddr>,
    now: Timestamp,
    /// Since when a source has heard nothing; none: never; one that is not named is up to date.
    cut: BTreeMap<SocketAddr, Option<Timestamp>>,
    silent: Vec<SocketAddr>,
    /// When the door last heard what was the newest within a quarter of a second.
    heard: Timestamp,
    longest: Duration,
    asked: Vec<SocketAddr>,
}

impl Field {
    fn of(offices: u8, beside: u8) -> Field {
        Field {
            sources: SourceSelector::default(),
            offices: (1..=offices).map(address).collect(),
            beside: (100..100 + beside).map(address).collect(),
            now: START,
            cut: BTreeMap::new(),
            silent: Vec::new(),
            heard: START,
            longest: Duration::ZERO,
            asked: Vec::new(),
        }
    }

    /// One pull, or the pause where nobody is left. A source that is up to date has news at once: the worst
    /// is what others take of the time.
    fn step(&mut self) {
        let Some(SourceChoice { source, wait }) =
            self.sources.choose_next(&self.offices, &self.beside, self.now)
        else {
            self.now = self.now.after(ms(60));
            return;
        };
        self.asked.push(source);
        if self.silent.contains(&source) {
            self.now = self.now.after(ms(400));
            self.sources.record_failure(source, &self.beside, self.now);
            self.now = self.now.after(ms(60));
            return;
        }
        let (sure, took) = match self.cut.get(&source) {
            Some(since) => (*since, wait + ms(40)),
            None => (Some(self.now), wait.min(ms(80)) + ms(40)),
        };
        self.now = self.now.after(took);
        if !self.cut.contains_key(&source) {
            self.longest = self.longest.max(self.now.since(self.heard));
            self.heard = self.now;
        }
        if !self.sources.record_answer(source, sure, &self.beside, self.now) {
            self.now = self.now.after(ms(60));
        }
    }

    fn steps_until(&mut self, until: Duration) {
        while self.now < START.after(until) {
            self.step();
        }
    }
}

/// Twenty seconds in which some of the nearest are cut off or silent: how long nothing new is heard from when
/// the door is in touch, 4 s after it began, at most.
#[parameterized(
    one_of_three_behind = { 3, 1, 0, 200 },
    two_of_five_behind = { 5, 2, 0, 350 },
    six_of_thirteen_behind = { 13, 6, 0, 900 },
    one_of_three_silent = { 3, 0, 1, 650 },
    two_of_five_silent = { 5, 0, 2, 1100 },
    one_behind_and_one_silent = { 5, 1, 1, 800 },
    six_of_thirteen_silent = { 13, 0, 6, 2950 },
)]
fn what_is_cut_off_nearby_keeps_news_from_a_door_for_no_longer(offices: u8, cut: u8, silent: u8, most: u64) {
    let mut field = Field::of(offices, 3);
    field.steps_until(ms(1000));
    let since = field.now;
    field.cut.extend((1..=cut).map(|no| (address(no), Some(since))));
    field.silent.extend((cut + 1..=cut + silent).map(address));
    field.steps_until(ms(5000));
    field.longest = Duration::ZERO;
    field.asked.clear();
    field.steps_until(ms(24_000));
    field.longest = field.longest.max(field.now.since(field.heard));
    assert!(field.longest <= ms(most), "{:?}", field.longest);
    // It comes back to each of them, as they may be well again, and less and less often.
    let tried = field.asked.iter().filter(|source| **source == address(1)).count();
    assert!((1..=3).contains(&tried), "{tried}");
}

#[test]
fn one_that_is_well_again_is_come_back_to() {
    let mut field = Field::of(3, 0);
    field.cut.insert(address(1), Some(START));
    field.steps_until(ms(20_000));
    field.cut.clear();
    field.steps_until(ms(33_000));
    assert_eq!(field.asked.last(), Some(&address(1)));
}

/// Whoever is behind is asked in turn, so that the first to be up to date again is found.
#[test]
fn of_those_that_are_behind_none_is_stayed_with() {
    let mut field = Field::of(3, 0);
    field.steps_until(ms(500));
    field.cut.extend((1..=3).map(|no| (address(no), Some(START))));
    field.steps_until(ms(9000));
    field.cut.remove(&address(3));
    let since = field.now;
    field.steps_until(ms(10_000));
    assert!(field.heard.since(since) > ms(0), "the third is found");
    assert!(field.longest < ms(9500), "{:?}", field.longest);
}

#[test]
fn at_the_start_the_nearest_is_waited_for() {
    let mut field = Field::of(3, 0);
    field.cut.extend((1..=3).map(|no| (address(no), None)));
    field.steps_until(ms(2000));
    assert_eq!(field.asked.iter().skip(3).find(|source| **source != address(1)), None);
}

#[test]
fn a_neighbour_that_is_up_to_date_is_heard_and_postmasters_hear_of_the_door() {
    let mut field = Field::of(3, 2);
    field.cut.extend((1..=3).map(|no| (address(no), Some(START))));
    field.cut.insert(address(100), Some(START));
    field.steps_until(ms(3500));
    field.longest = Duration::ZERO;
    field.asked.clear();
    field.steps_until(ms(20_000));
    assert!(field.longest < ms(900), "{:?}", field.longest);
    assert!(field.asked.contains(&address(101)) && field.asked.contains(&address(1)));
    // Where all neighbours are in vain, too, postmasters are asked between them.
    field.silent = vec![address(100), address(101)];
    field.asked.clear();
    field.steps_until(ms(30_000));
    let twice = field.asked.windows(2).find(|two| two.iter().all(|source| field.beside.contains(source)));
    assert_eq!(twice, None);
}
