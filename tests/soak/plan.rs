//! What is done to the system, drawn from a seed.

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{
    fleet::Size,
    links::LinkFault,
    support::{
        Fault,
        system::{ENGINE_SERVICE, PLAIN_SERVICE},
        upstream::{REFUSAL, Repeat, UNNAMED_REFUSAL, Unframed},
    },
};

/// A seed's plan.
#[derive(Debug)]
pub struct Plan {
    /// Whether there is planned work alone, so that no request may be lost.
    pub is_planned: bool,
    /// What is done, and how long after the last.
    pub steps: Vec<(u64, Step)>,
}

/// One thing that is done. Processes, links and upstreams are counted by index.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// SIGTERM, and a new start once it has ended.
    Stop(usize),
    /// SIGKILL, and a new start.
    Kill(usize),
    /// SIGSTOP for so many milliseconds.
    Freeze(usize, u64),
    /// SIGHUP.
    Reload(usize),
    /// SIGHUP, and again, as soon as the process logs its start.
    ReloadWhenStarted(usize),
    /// The next version of the configuration.
    Configure,
    /// A version that can't be in force, and which the next one follows.
    ConfigureBadly,
    /// The store is away, and comes back from a copy that is some seconds old; what was written since is
    /// written again soon after.
    StoreRestored,
    /// The store refuses calls for so many milliseconds.
    StoreDown(u64),
    /// Writes are done and not answered for so long.
    StoreLosesAnswers(u64),
    /// The store forgets its history.
    StoreForgets,
    /// A link misbehaves for so long.
    Link(usize, LinkFault, u64),
    /// An upstream does this to its next request.
    Upstream(usize, Fault),
    /// A plain upstream leaves, and comes back under another name.
    Leave(usize),
    /// An upstream reads nothing for so many milliseconds, and then all that was sent meanwhile.
    FreezeUpstream(usize, u64),
    /// Every upstream of a service does this to every so many-th request.
    Storm {
        /// The service.
        service: &'static str,
        /// What they do.
        fault: Fault,
        /// To every so many-th request.
        every: u64,
        /// For so many milliseconds.
        for_ms: u64,
    },
}

impl Step {
    /// Which router it keeps from what the store says, all if `None`, and for how long, if it does; routers
    /// and their links to the store come first.
    pub fn keeps_from_store_ms(self, routers: usize) -> Option<(Option<usize>, u64)> {
        match self {
            Self::StoreDown(for_ms) => Some((None, for_ms)),
            Self::StoreRestored => Some((None, RESTORED_AFTER_MS + REWRITTEN_AFTER_MS)),
            Self::Freeze(index, for_ms) | Self::Link(index, _, for_ms) if index < routers => {
                Some((Some(index), for_ms))
            }
            Self::Kill(index) | Self::Stop(index) if index < routers => Some((Some(index), 0)),
            Self::StoreForgets => Some((None, 0)),
            _ => None,
        }
    }
}

/// How long the store is away before it comes back from a copy, and how long after that what was written
/// since the copy is written again.
pub const RESTORED_AFTER_MS: u64 = 500;
pub const REWRITTEN_AFTER_MS: u64 = 1500;
/// The shortest and longest pause between two steps.
const PAUSE_MS: (u64, u64) = (20, 700);
const UPSTREAM_FAULTS: [Fault; 16] = [
    Fault::Decline,
    Fault::Refuse(UNNAMED_REFUSAL),
    Fault::RefuseTwice(REFUSAL, 1),
    Fault::RefuseTwice(UNNAMED_REFUSAL, 1),
    Fault::Repeat(Repeat::Whole),
    Fault::LoseAnswer,
    Fault::CrossAnswer,
    Fault::Unsealed,
    Fault::Fail,
    Fault::Cut,
    Fault::Extra,
    Fault::Unframed(Unframed::Whole),
    Fault::Unframed(Unframed::Empty),
    Fault::Unframed(Unframed::InsideEvent),
    Fault::Unframed(Unframed::Reset),
    Fault::Pause,
];

/// Seeds that end in 5 add failures that make routers use up their retries, while processes end
/// and start in series.
const STORM_SEEDS: (u64, u64) = (10, 5);
/// The shortest and longest pause between two such steps.
const STORM_PAUSE_MS: (u64, u64) = (50, 900);
const STORM_FAULTS: [Fault; 5] = [
    Fault::Decline,
    Fault::Fail,
    Fault::Unsealed,
    Fault::RefuseTwice(REFUSAL, 1),
    Fault::RefuseTwice(UNNAMED_REFUSAL, 1),
];

impl Plan {
    /// These steps, each with the pause before it.
    pub fn of(steps: impl IntoIterator<Item = (u64, Step)>) -> Self {
        Self {
            is_planned: false,
            steps: steps.into_iter().collect(),
        }
    }

    /// Even seeds have planned work alone.
    pub fn draw(seed: u64, faults_ms: u64, size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let is_planned = seed.is_multiple_of(2);
        let (mut steps, mut at_ms) = (Vec::new(), 0);
        while at_ms < faults_ms {
            let pause_ms = rng.random_range(PAUSE_MS.0..=PAUSE_MS.1);
            at_ms += pause_ms;
            let step = if is_planned {
                draw_planned(&mut rng, size)
            } else {
                draw_any(&mut rng, size)
            };
            steps.push((pause_ms, step));
        }
        if seed % STORM_SEEDS.0 == STORM_SEEDS.1 {
            steps = merge(&steps, &draw_storms(&mut rng, faults_ms, size));
        }
        Self { is_planned, steps }
    }
}

/// Both lists of steps, each at its own time.
pub fn merge(one: &[(u64, Step)], other: &[(u64, Step)]) -> Vec<(u64, Step)> {
    let timed = |steps: &[(u64, Step)]| {
        let mut at_ms = 0;
        let timed = steps.iter().map(|(pause_ms, step)| {
            at_ms += pause_ms;
            (at_ms, *step)
        });
        timed.collect::<Vec<_>>()
    };
    let mut all = timed(one);
    all.extend(timed(other));
    all.sort_by_key(|(at_ms, _)| *at_ms);
    let mut last_ms = 0;
    all.into_iter()
        .map(|(at_ms, step)| (at_ms - std::mem::replace(&mut last_ms, at_ms), step))
        .collect()
}

fn draw_storms(rng: &mut StdRng, faults_ms: u64, size: Size) -> Vec<(u64, Step)> {
    let (mut steps, mut at_ms) = (Vec::new(), 0);
    while at_ms < faults_ms {
        let pause_ms = rng.random_range(STORM_PAUSE_MS.0..=STORM_PAUSE_MS.1);
        at_ms += pause_ms;
        let router = rng.random_range(0..size.routers);
        let agent = size.routers + rng.random_range(0..size.engines);
        let step = match rng.random_range(0..8) {
            0..=2 => Step::Storm {
                service: if rng.random_bool(0.5) {
                    PLAIN_SERVICE
                } else {
                    ENGINE_SERVICE
                },
                fault: *STORM_FAULTS.choose(rng).unwrap_or(&Fault::Decline),
                every: rng.random_range(1..=2),
                for_ms: rng.random_range(1000..6000),
            },
            3..=4 => Step::Kill(router),
            5 => Step::Kill(agent),
            6 => Step::Freeze(agent, rng.random_range(100..6000)),
            _ => Step::FreezeUpstream(
                rng.random_range(0..size.upstreams()),
                rng.random_range(100..6000),
            ),
        };
        steps.push((pause_ms, step));
    }
    steps
}

fn draw_planned(rng: &mut StdRng, size: Size) -> Step {
    let process = rng.random_range(0..size.processes());
    match rng.random_range(0..8) {
        0..=3 => Step::Stop(process),
        4 => Step::Reload(process),
        _ => Step::Configure,
    }
}

fn draw_any(rng: &mut StdRng, size: Size) -> Step {
    let process = rng.random_range(0..size.processes());
    let for_ms = rng.random_range(100..2500);
    match rng.random_range(0..20) {
        0..=1 => Step::Kill(process),
        2..=3 => Step::Freeze(process, for_ms),
        4 => Step::StoreDown(for_ms),
        5 => Step::StoreLosesAnswers(for_ms),
        6 => Step::StoreForgets,
        7..=10 => {
            let fault = match rng.random_range(0..4) {
                0 => LinkFault::Delay(rng.random_range(5..300)),
                1 => LinkFault::Reset,
                2 => LinkFault::OneWay,
                _ => LinkFault::Silence,
            };
            Step::Link(rng.random_range(0..size.links()), fault, for_ms)
        }
        11..=14 => {
            let fault = UPSTREAM_FAULTS.choose(rng).copied();
            Step::Upstream(
                rng.random_range(0..size.upstreams()),
                fault.unwrap_or(Fault::Fail),
            )
        }
        15 => Step::Leave(rng.random_range(0..size.desks)),
        _ => draw_planned(rng, size),
    }
}
