//! What is done to the system, drawn from a seed.

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{fleet::Size, links::LinkFault, support::Fault};

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
    /// The next version of the configuration.
    Configure,
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
}

/// The shortest and longest pause between two steps.
const PAUSE_MS: (u64, u64) = (20, 700);
const UPSTREAM_FAULTS: [Fault; 9] = [
    Fault::Decline,
    Fault::LoseAnswer,
    Fault::CrossAnswer,
    Fault::Unsealed,
    Fault::Fail,
    Fault::Cut,
    Fault::Extra,
    Fault::Unframed,
    Fault::Pause,
];

impl Plan {
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
        Self { is_planned, steps }
    }
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
