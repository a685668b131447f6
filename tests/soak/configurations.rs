//! By which version of the configuration each router handles requests: in force in time, never an
//! invalid one, and never an older one again.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    callers::status_of,
    fleet::{Fleet, Size},
    links::LinkFault,
    plan::{Plan, Step, merge},
    support::system::version_path,
};

/// A version must be in force so long after its acknowledgement.
const APPLY: Duration = Duration::from_secs(2);
/// A router may handle requests by an older version so long after it has handled one by a newer one.
const DOWNGRADE: Duration = Duration::from_millis(250);
/// Pause between two looks at one router.
const LOOK_PAUSE: Duration = Duration::from_millis(40);
/// The shortest and longest pause between two versions, and between two disturbances.
const VERSION_PAUSE_MS: (u64, u64) = (300, 1500);
const DISTURBANCE_PAUSE_MS: (u64, u64) = (500, 5000);

/// A version that the store has acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// When it was sent.
    pub sent_at: Instant,
    /// When it was acknowledged.
    pub at: Instant,
    /// Its number, which names the only route that it adds.
    pub version: u64,
    /// Whether it may come into force.
    pub is_valid: bool,
}

/// The answer to a request on the route that one version adds.
#[derive(Clone, Copy, Debug)]
struct Look {
    sent_at: Instant,
    answered_at: Instant,
    version: u64,
    status: Option<u16>,
}

/// Looks at all routers until it is stopped.
pub struct Watch {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Look>>>,
}

/// Begins to look at the routers of `fleet`.
pub fn start(fleet: &Fleet) -> Watch {
    let stop = Arc::new(AtomicBool::new(false));
    let threads = fleet.router_addresses().into_iter().map(|router| {
        let (stop, written) = (stop.clone(), fleet.written());
        std::thread::spawn(move || look_until(router, &stop, &written))
    });
    Watch {
        threads: threads.collect(),
        stop,
    }
}

impl Watch {
    /// Ends the looks; returns what must not have been seen.
    pub fn stop(self, fleet: &Fleet) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let written = fleet.written().lock().expect("versions").clone();
        let looks = self.threads.into_iter().map(|t| t.join().expect("looks"));
        let checked = looks.enumerate().flat_map(|(router, looks)| {
            let seen = looks.iter().filter(|look| look.status == Some(200)).count();
            println!("router {router}: {} looks, {seen} served", looks.len());
            check(fleet, router, &looks, &written)
        });
        checked.collect()
    }
}

/// Looks at the newest version and those before it, by turns.
fn look_until(router: SocketAddr, stop: &AtomicBool, written: &Mutex<Vec<Written>>) -> Vec<Look> {
    const VERSIONS_BACK: usize = 3;
    let mut looks = Vec::new();
    for back in (0..VERSIONS_BACK).cycle() {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let version = {
            let written = written.lock().expect("versions");
            written
                .iter()
                .rev()
                .nth(back)
                .map(|written| written.version)
        };
        let Some(version) = version else {
            continue;
        };
        let sent_at = Instant::now();
        let id = format!("probe-{}", rand::random::<u64>());
        let status = status_of(router, &version_path(version), &id);
        looks.push(Look {
            sent_at,
            answered_at: Instant::now(),
            version,
            status,
        });
        std::thread::sleep(LOOK_PAUSE);
    }
    looks
}

fn check(fleet: &Fleet, router: usize, looks: &[Look], written: &[Written]) -> Vec<String> {
    let validity: BTreeMap<u64, bool> = written.iter().map(|w| (w.version, w.is_valid)).collect();
    // The highest version that was seen in force, and since when.
    let mut highest: Option<(u64, Instant)> = None;
    // The first look of each kind, and how many there were.
    let mut broken: BTreeMap<&str, (String, usize)> = BTreeMap::new();
    for look in looks {
        let is_served = look.status == Some(200);
        let due = written
            .iter()
            .filter(|written| written.is_valid && written.at + APPLY <= look.sent_at)
            .map(|written| written.version)
            .max();
        let is_newest = !written.iter().any(|written| {
            written.is_valid
                && written.version > look.version
                && written.sent_at <= look.answered_at
        });
        let since_ms = |at: Instant| look.sent_at.saturating_duration_since(at).as_millis();
        let is_in_touch = fleet.is_in_touch(router, look.sent_at);
        let fault = if is_served && validity.get(&look.version) == Some(&false) {
            Some("an invalid version is in force")
        } else if !is_in_touch {
            None
        } else if is_served && due.is_some_and(|due| look.version < due) {
            Some("an older version is in force")
        } else if look.status == Some(404) && due == Some(look.version) && is_newest {
            Some("a version is not in force")
        } else if is_served
            && highest.is_some_and(|(version, since)| {
                look.version < version && since + DOWNGRADE < look.sent_at
            })
        {
            Some("an older version is in force again")
        } else {
            None
        };
        if let Some(fault) = fault {
            let acknowledged = written.iter().find(|w| w.version == look.version);
            let what = format!(
                "router {router}: {fault}: {}, acknowledged {:?} ms before, due {due:?}, {:?}",
                look.version,
                acknowledged.map(|written| since_ms(written.at)),
                look.status
            );
            broken.entry(fault).or_insert((what, 0)).1 += 1;
        }
        if is_served && is_in_touch && highest.is_none_or(|(version, _)| version < look.version) {
            highest = Some((look.version, look.sent_at));
        }
    }
    let broken = broken.into_values();
    broken
        .map(|(what, count)| format!("{what}; {count} looks"))
        .collect()
}

/// Versions in quick succession, invalid ones among them, beside whatever keeps processes from the store.
pub fn draw(seed: u64, faults_ms: u64, size: Size) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut draw = |pause_ms: (u64, u64), step: &dyn Fn(&mut StdRng) -> Step| {
        let (mut steps, mut at_ms) = (Vec::new(), 0);
        while at_ms < faults_ms {
            let pause_ms = rng.random_range(pause_ms.0..=pause_ms.1);
            at_ms += pause_ms;
            steps.push((pause_ms, step(&mut rng)));
        }
        steps
    };
    let versions = draw(VERSION_PAUSE_MS, &|rng| match rng.random_range(0..5) {
        0 => Step::ConfigureBadly,
        _ => Step::Configure,
    });
    let disturbances = draw(DISTURBANCE_PAUSE_MS, &|rng| {
        let process = rng.random_range(0..size.processes());
        let for_ms = rng.random_range(100..2500);
        match rng.random_range(0..12) {
            0 => Step::Kill(process),
            1 => Step::Stop(process),
            2 => Step::Freeze(process, for_ms),
            3 => Step::Reload(process),
            4 => Step::StoreDown(for_ms),
            5 => Step::StoreForgets,
            6..=7 => Step::StoreRestored,
            8 => Step::Link(process, LinkFault::Delay(for_ms / 10), for_ms),
            9 => Step::Link(process, LinkFault::Reset, for_ms),
            10 => Step::Link(process, LinkFault::OneWay, for_ms),
            _ => Step::Link(process, LinkFault::Silence, for_ms),
        }
    });
    Plan {
        is_planned: false,
        steps: merge(&versions, &disturbances),
    }
}
