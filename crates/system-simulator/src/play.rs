//! Plays a planned day: operators with up to eight orders under way, whose answers may be lost, readers that read back
//! all day long, and the troubles of the plan.

use super::day::{
    Keys, Outcome, QUIET, TENANTS, TRAFFIC, ask_from, call, config, ended, first_keys, furnish, note,
    outcome, watch,
};
use super::disk::{Health, Left};
use super::plan::{Errand, Mishap, Plan, Step, Wanted, Who};
use super::town::{Order, ReadBack, What};
use super::world::{Whom, World, operator};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::{Mutex, Semaphore};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use vanewharf_runtime::environment::Environment;

/// Orders under way at once.
const UNDER_WAY: usize = 8;
/// All but configurations are sent again for so long: as long as the judge waits for them.
const SENT_FOR: Duration = Duration::from_secs(24);
const READ_EACH: Duration = Duration::from_millis(350);
/// From a planned end until the process is killed.
const GRACE: f64 = 0.8;
/// A step that waits for an acknowledgement comes without one after this.
const NO_ACK: f64 = 3.0;

/// Plays a plan; the same plan is the same day.
pub fn enact(plan: &Plan) -> Outcome {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().expect("a runtime");
    let set = LocalSet::new();
    runtime.block_on(set.run_until(enacted(plan)))
}

fn seconds(at: f64) -> Duration {
    Duration::from_secs_f64(at)
}

async fn enacted(plan: &Plan) -> Outcome {
    let world = World::with(plan.shape, plan.seed, plan.spares, plan.drift);
    let begun = Instant::now();
    furnish(&world);
    world.begin();

    let mut keys = first_keys();
    let given = Rc::new(Keys(keys.clone()));
    let mut chance = SmallRng::seed_from_u64(plan.seed ^ 0x0bde);
    let first =
        Errand { at: 1.0, wanted: Wanted::Replace { routes: 0, fewer_keys: false, bodies: 1 }, again: None };
    let mut errands: Vec<&Errand> = std::iter::once(&first).chain(&plan.errands).collect();
    errands.sort_by(|one, other| one.at.total_cmp(&other.at));
    let operators = Rc::new(Operators::new(plan.lost));
    let (mut revision, mut count, mut last) = (0, 0, TRAFFIC + Duration::from_secs(plan.shape.seconds));
    for errand in errands {
        let mut bodies = Vec::new();
        match &errand.wanted {
            Wanted::Replace { routes, fewer_keys, bodies: several } => {
                revision += if revision == 0 { 1 } else { chance.random_range(1..4) };
                if *fewer_keys {
                    // One always stays.
                    let (name, ..) = TENANTS[chance.random_range(0..TENANTS.len())];
                    let held = keys.get_mut(name).filter(|held| held.len() > 1);
                    held.into_iter().for_each(|held| drop(held.pop()));
                }
                note(&world, revision, &keys);
                for no in 0..*several {
                    let body = config(revision, &keys, *routes, no);
                    bodies.push(Send::Whole(What::Replace { revision, body }));
                }
            }
            Wanted::Evacuate { zone, begin } => {
                bodies.push(Send::Whole(What::Evacuate { zone: zone.clone(), begin: *begin }));
            }
            Wanted::Voters { out, into } => bodies.push(Send::Voters(*out, *into)),
            Wanted::Invalid => bodies.push(Send::Whole(What::Invalid { revision: 99 })),
        }
        for send in bodies {
            count += 1;
            let seed = plan.seed.wrapping_mul(0x9e37).wrapping_add(count);
            let (world, operators, again) = (Rc::clone(&world), Rc::clone(&operators), errand.again);
            let when = begun + seconds(errand.at);
            tokio::task::spawn_local(async move {
                sleep_until(when).await;
                operators.give(&world, send, seed, again).await;
            });
        }
        last = last.max(seconds(errand.at));
    }
    let mut told = Vec::new();
    for step in &plan.steps {
        let late = if step.after_ack { NO_ACK } else { 0.0 };
        last = last.max(seconds(step.at + step.span + GRACE + late));
        told.push(format!("{:6.2} s  {}, for {:.2} s", step.at, said(step), step.span));
        tokio::task::spawn_local(strike(Rc::clone(&world), step.clone(), begun, Rc::clone(&operators)));
    }
    let over = last + QUIET;
    told.extend(
        plan.errands.iter().take(40).map(|errand| format!("{:6.2} s  {:?}", errand.at, errand.wanted)),
    );
    tokio::task::spawn_local(ask_from(Rc::clone(&world), plan.seed, begun, over, None, given));
    tokio::task::spawn_local(watch(Rc::clone(&world)));
    for reader in 0..2 {
        tokio::task::spawn_local(read(Rc::clone(&world), reader, plan.seed, begun));
    }
    sleep_until(begun + over).await;
    let broken = ended(&world, plan.seed, begun).await;
    told.sort();
    outcome(&world, plan.seed, broken, told, count as usize, begun, over)
}

fn said(step: &Step) -> String {
    let whom = step.whom.iter().map(|who| format!("{who:?}")).collect::<Vec<_>>().join(", ");
    let seeds = if step.seeds.is_empty() { String::new() } else { format!(", seeds {:?}", step.seeds) };
    let after = if step.after_ack { ", after an acknowledgement" } else { "" };
    format!("{:?} [{whom}]{seeds}{after}", step.mishap)
}

enum Send {
    Whole(What),
    Voters(Who, Who),
}

/// The operators' side of a day.
struct Operators {
    places: Semaphore,
    /// Orders for one zone come one after the other.
    zones: BTreeMap<&'static str, Mutex<()>>,
    lost: f64,
    acked: tokio::sync::Notify,
}

impl Operators {
    fn new(lost: f64) -> Operators {
        let zones = super::world::ZONES.iter().map(|(zone, _)| (*zone, Mutex::default())).collect();
        Operators { places: Semaphore::new(UNDER_WAY), zones, lost, acked: tokio::sync::Notify::new() }
    }

    async fn give(&self, world: &Rc<World>, send: Send, seed: u64, again: Option<f64>) {
        let what = match send {
            Send::Whole(what) => what,
            Send::Voters(out, into) => What::Voters { out: resolve(world, out), into: resolve(world, into) },
        };
        let zone = match &what {
            What::Evacuate { zone, .. } => self.zones.get(zone.as_str()),
            _ => None,
        };
        let _alone = match zone {
            Some(zone) => Some(zone.lock().await),
            None => None,
        };
        let mut chance = SmallRng::seed_from_u64(seed);
        let clear = {
            let _place = self.places.acquire().await;
            self.until_clear(world, &what, seed, &mut chance).await
        };
        if let Some(again) = again.filter(|_| clear) {
            sleep(seconds(again)).await;
            let _place = self.places.acquire().await;
            self.until_clear(world, &what, seed ^ 0xa6a1, &mut chance).await;
        }
    }

    /// Sends it until it is clear what became of it; whether it was acknowledged.
    async fn until_clear(&self, world: &Rc<World>, what: &What, seed: u64, chance: &mut SmallRng) -> bool {
        let premises = Environment::new(world.network.at(operator((seed % 5) as u8)), None, seed);
        let (path, body) = match what {
            What::Replace { body, .. } => ("/-/Configuration.Replace".to_owned(), body.as_str()),
            What::Invalid { .. } => ("/-/Configuration.Replace".to_owned(), "{\"revision\":\"r99\"}"),
            What::Evacuate { zone, begin: true } => (format!("/-/Evacuation.Begin/{zone}"), ""),
            What::Evacuate { zone, begin: false } => (format!("/-/Evacuation.Finish/{zone}"), ""),
            What::Voters { out, into } => {
                let ip = |no: usize| world.machines[no].ip;
                (format!("/-/Voters.Replace/{}/{}", ip(*out), ip(*into)), "")
            }
        };
        let sent = Instant::now();
        let at = {
            let mut history = world.town.history.borrow_mut();
            history.orders.push(Order { what: what.clone(), sent, acked: None, taken: None, refused: None });
            history.orders.len() - 1
        };
        let limited = !matches!(what, What::Replace { .. } | What::Invalid { .. });
        let mut pause = Duration::from_millis(50);
        loop {
            let status = call(world, &premises, "POST", &path, body).await.map(|(status, _)| status);
            match status {
                Some(200) if chance.random_bool(self.lost) => {
                    let mut history = world.town.history.borrow_mut();
                    let order = &mut history.orders[at];
                    order.taken = order.taken.or(Some(Instant::now()));
                }
                Some(200) => {
                    world.town.history.borrow_mut().orders[at].acked = Some(Instant::now());
                    self.acked.notify_waiters();
                    return true;
                }
                Some(status @ 400..500) if !matches!(status, 408 | 429) => {
                    world.town.history.borrow_mut().orders[at].refused = Some(status);
                    return false;
                }
                _ => {}
            }
            if limited && sent.elapsed() > SENT_FOR {
                return false;
            }
            sleep(pause).await;
            pause = (pause * 3 / 2).min(Duration::from_millis(600));
        }
    }
}

/// One that reads back all day long.
async fn read(world: Rc<World>, no: u8, seed: u64, begun: Instant) {
    sleep_until(begun + seconds(3.0 + f64::from(no) / 5.0)).await;
    let premises = Environment::new(world.network.at(operator(5 + no)), None, seed ^ u64::from(no) << 40);
    loop {
        let sent = Instant::now();
        if let Some((200, text)) = call(&world, &premises, "GET", "/-/Configuration.Read", "").await {
            let (came, text) = (Instant::now(), String::from_utf8_lossy(&text).into_owned());
            world.town.history.borrow_mut().read_backs.push(ReadBack { sent, came, text });
        }
        sleep(READ_EACH + Duration::from_millis(premises.random_below(100))).await;
    }
}

/// Which machine that is now.
fn resolve(world: &World, who: Who) -> usize {
    let control = world.control.borrow();
    let holder = world.holder().filter(|holder| control.contains(holder));
    match who {
        Who::No(no) => no,
        Who::Holder => holder.unwrap_or(control[0]),
        Who::Follower => control.iter().copied().find(|no| Some(*no) != holder).unwrap_or(control[0]),
    }
}

async fn strike(world: Rc<World>, step: Step, begun: Instant, operators: Rc<Operators>) {
    sleep_until(begun + seconds(step.at)).await;
    if step.after_ack {
        // The next one that comes, or none.
        let _ = timeout(seconds(NO_ACK), operators.acked.notified()).await;
    }
    let whom: BTreeSet<usize> = step.whom.iter().map(|who| resolve(&world, *who)).collect();
    if !step.seeds.is_empty() {
        let mut seeds: Vec<usize> = step.seeds.iter().map(|who| resolve(&world, *who)).collect();
        let again = match step.mishap {
            Mishap::Gone { new } => vec![new],
            _ => whom.iter().copied().collect(),
        };
        let mut known = BTreeSet::new();
        seeds.retain(|seed| known.insert(*seed));
        again.into_iter().for_each(|no| world.reseed(no, seeds.clone()));
    }
    let span = seconds(step.span);
    let all: BTreeSet<usize> = (0..world.machines.len()).collect();
    match step.mishap {
        Mishap::Kill => {
            whom.iter().for_each(|no| world.kill(*no, |_| true));
            sleep(span).await;
            whom.iter().for_each(|no| world.boot(*no));
        }
        Mishap::Power(left) => {
            whom.iter().for_each(|no| world.lose_power(*no, left));
            sleep(span).await;
            whom.iter().for_each(|no| world.boot(*no));
        }
        Mishap::Wipe => {
            whom.iter().for_each(|no| wipe(&world, *no));
            sleep(span).await;
            whom.iter().for_each(|no| world.boot(*no));
        }
        Mishap::Freeze => {
            whom.iter().for_each(|no| world.freeze(*no, true));
            sleep(span).await;
            whom.iter().for_each(|no| world.freeze(*no, false));
        }
        Mishap::Term => {
            whom.iter().for_each(|no| world.term(*no));
            sleep(seconds(GRACE)).await;
            whom.iter().for_each(|no| world.kill(*no, |_| true));
            sleep(span).await;
            whom.iter().for_each(|no| world.boot(*no));
        }
        Mishap::Cut { doors } => {
            let side: BTreeSet<usize> = whom.iter().chain(&doors).copied().collect();
            let rest: BTreeSet<usize> = all.difference(&side).copied().collect();
            let troubled: Vec<_> =
                std::iter::once(Whom::Parted(whom)).chain(doors.iter().map(|no| Whom::Ailing(*no))).collect();
            troubled.iter().for_each(|whom| world.befalls(whom.clone()));
            world.part((&side, &rest), false, true);
            sleep(span).await;
            troubled.iter().for_each(|whom| world.over(whom));
            world.part((&side, &rest), false, false);
        }
        Mishap::Unheard | Mishap::Deaf => {
            let rest: BTreeSet<usize> = all.difference(&whom).copied().collect();
            let parted = Whom::Parted(whom.clone());
            let (from, to) = if step.mishap == Mishap::Unheard { (whom, rest) } else { (rest, whom) };
            world.befalls(parted.clone());
            world.part((&from, &to), true, true);
            sleep(span).await;
            world.over(&parted);
            world.part((&from, &to), true, false);
        }
        Mishap::Disk(health) => {
            let turn = |no: usize, health: Health| {
                world.machines[no].disk.iter().for_each(|disk| disk.turn(health));
            };
            whom.iter().for_each(|no| {
                world.befalls(Whom::Ailing(*no));
                turn(*no, health);
            });
            sleep(span).await;
            whom.iter().for_each(|no| {
                world.over(&Whom::Ailing(*no));
                turn(*no, Health::Well);
            });
        }
        Mishap::Narrow(rate) => {
            whom.iter().for_each(|no| world.slow(*no, Some(rate)));
            sleep(span).await;
            whom.iter().for_each(|no| world.slow(*no, None));
        }
        Mishap::Gone { new } => {
            whom.iter().for_each(|no| world.term(*no));
            sleep(seconds(GRACE)).await;
            whom.iter().for_each(|no| world.remove(*no));
            sleep(span).await;
            world.come(new);
        }
        Mishap::Blackout => {
            for no in 0..world.machines.len() {
                world.lose_power(no, Left::Nothing);
            }
            whom.iter().for_each(|no| wipe(&world, *no));
            sleep(span).await;
            (0..world.machines.len()).for_each(|no| world.boot(no));
        }
        Mishap::DoorCut { door } => {
            let (own, core) = ([door].into(), world.control.borrow().iter().copied().collect());
            world.befalls(Whom::Ailing(door));
            world.part((&own, &core), false, true);
            sleep(span).await;
            world.over(&Whom::Ailing(door));
            world.part((&own, &core), false, false);
        }
        Mishap::DoorKill { door } => {
            world.kill(door, |_| true);
            sleep(span).await;
            world.boot(door);
        }
    }
}

fn wipe(world: &World, no: usize) {
    world.lose_power(no, Left::Nothing);
    world.machines[no].disk.iter().for_each(|disk| disk.wipe());
}
