//! What a fuzzed trial does, drawn from random bytes: callers' requests and faults, in order.

use arbtest::arbitrary::{Result, Unstructured};
use celerystair_standin::platform::PlatformFaults;

/// Steps of one trial.
const STEPS: usize = 60;
/// Calls that one step may make at once.
const BURST_MAX: usize = 5;
/// Idempotency keys of one trial; fewer than calls, so that many are sent twice.
const KEYS: u32 = 60;
/// How long a caller waits that means to outlast every planned stop.
const PATIENT_TIMEOUT_MS: u64 = 60_000;

/// One step.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Makes calls at once.
    Calls(Vec<PlannedCall>),
    /// Waits.
    Wait(u64),
    /// Kills an agent and starts another life of it.
    RestartAgent(usize),
    /// Kills a router and starts another.
    RestartRouter(usize),
    /// Stops an agent as planned and starts another life of it.
    ReplaceAgent(usize),
    /// Starts another router in the place of one, which is stopped as planned.
    ReplaceRouter(usize),
    /// Holds an agent.
    PauseAgent(usize, u64),
    /// Holds a router.
    PauseRouter(usize, u64),
    /// Makes the platform fail, or mends it.
    Faults(PlatformFaults),
}

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// The router that takes it.
    pub router: usize,
    /// How long its caller waits.
    pub timeout_ms: u64,
    /// After how long its caller leaves, if it does.
    pub leave_after_ms: Option<u64>,
    /// What it asks for.
    pub target: PlannedTarget,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedTarget {
    /// A call that may not be repeated, under one of the trial's keys.
    Keyed(u32),
    /// A completion, streamed or whole.
    Completion {
        /// Whether it is streamed.
        stream: bool,
        /// Tokens of its answer.
        tokens: u64,
    },
    /// A completion that crashes the engine that runs it.
    Poison,
}

/// Draws the steps of a trial over so many agents and routers.
pub fn draw_steps(
    source: &mut Unstructured<'_>,
    agents: usize,
    routers: usize,
) -> Result<Vec<Step>> {
    (0..STEPS)
        .map(|_| draw_step(source, agents, routers))
        .collect()
}

/// Draws the steps of a trial in which nothing fails and processes are only stopped as planned.
/// Its callers stay, and wait for as long as any planned stop takes.
pub fn draw_planned_stops(
    source: &mut Unstructured<'_>,
    agents: usize,
    routers: usize,
) -> Result<Vec<Step>> {
    (0..STEPS)
        .map(|_| {
            Ok(match source.int_in_range(0..=9_u8)? {
                0..=4 => {
                    let calls = source.int_in_range(1..=BURST_MAX)?;
                    let calls = (0..calls).map(|_| draw_patient_call(source, routers));
                    Step::Calls(calls.collect::<Result<_>>()?)
                }
                5..=6 => Step::Wait(source.int_in_range(1..=60)?),
                7..=8 => Step::ReplaceAgent(source.choose_index(agents)?),
                _ => Step::ReplaceRouter(source.choose_index(routers)?),
            })
        })
        .collect()
}

fn draw_patient_call(source: &mut Unstructured<'_>, routers: usize) -> Result<PlannedCall> {
    let mut call = draw_call(source, routers)?;
    if call.target == PlannedTarget::Poison {
        call.target = PlannedTarget::Keyed(0);
    }
    call.timeout_ms = PATIENT_TIMEOUT_MS;
    call.leave_after_ms = None;
    Ok(call)
}

fn draw_step(source: &mut Unstructured<'_>, agents: usize, routers: usize) -> Result<Step> {
    Ok(match source.int_in_range(0..=17_u8)? {
        0..=7 => {
            let calls = source.int_in_range(1..=BURST_MAX)?;
            let calls = (0..calls).map(|_| draw_call(source, routers));
            Step::Calls(calls.collect::<Result<_>>()?)
        }
        8..=10 => Step::Wait(source.int_in_range(1..=120)?),
        11 => Step::RestartAgent(source.choose_index(agents)?),
        12 => Step::RestartRouter(source.choose_index(routers)?),
        13 => Step::PauseAgent(source.choose_index(agents)?, source.int_in_range(1..=300)?),
        14 => Step::PauseRouter(source.choose_index(routers)?, source.int_in_range(1..=300)?),
        15 => Step::ReplaceAgent(source.choose_index(agents)?),
        16 => Step::ReplaceRouter(source.choose_index(routers)?),
        _ => Step::Faults(PlatformFaults {
            down: source.ratio(1, 3_u8)?,
            slow_ms: source.int_in_range(0..=60)?,
            lose_write_answers_percent: *source.choose(&[0, 0, 20, 60, 100])?,
            stale_reads_percent: *source.choose(&[0, 0, 20, 60])?,
            missed_watches_percent: *source.choose(&[0, 0, 20])?,
            stale_watches_percent: *source.choose(&[0, 0, 20])?,
        }),
    })
}

fn draw_call(source: &mut Unstructured<'_>, routers: usize) -> Result<PlannedCall> {
    let target = match source.int_in_range(0..=19_u8)? {
        0..=13 => PlannedTarget::Keyed(source.int_in_range(0..=KEYS - 1)?),
        14..=18 => PlannedTarget::Completion {
            stream: source.arbitrary()?,
            tokens: source.int_in_range(1..=20)?,
        },
        _ => PlannedTarget::Poison,
    };
    let leaves = source.ratio(1, 8_u8)?;
    Ok(PlannedCall {
        router: source.choose_index(routers)?,
        timeout_ms: source.int_in_range(300..=4000)?,
        leave_after_ms: if leaves {
            Some(source.int_in_range(1..=100)?)
        } else {
            None
        },
        target,
    })
}
