//! Generates the steps of a fuzzed trial, requests and faults, from random bytes.

use arbtest::arbitrary::{Result, Unstructured};
use celerystair_standin::platform::PlatformFaults;

/// Number of steps of one trial.
const STEPS: usize = 60;
/// Largest number of calls that one step makes at once.
const BURST_MAX: usize = 5;
/// Number of idempotency keys of one trial; fewer than calls, so that many keys are sent twice.
const KEYS: u32 = 60;
/// Request timeout that outlasts every drain.
const PATIENT_TIMEOUT_MS: u64 = 60_000;

/// One step of a trial. Agents and routers are given by index.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Makes these calls at once.
    Calls(Vec<PlannedCall>),
    /// Waits for so many milliseconds.
    Wait(u64),
    /// Kills an agent, and starts its next incarnation.
    RestartAgent(usize),
    /// Kills a router, and starts another.
    RestartRouter(usize),
    /// Drains an agent, and starts its next incarnation.
    ReplaceAgent(usize),
    /// Starts another router in the place of one, and drains the old one.
    ReplaceRouter(usize),
    /// Blocks an agent's thread for so many milliseconds.
    PauseAgent(usize, u64),
    /// Blocks a router's thread for so many milliseconds.
    PauseRouter(usize, u64),
    /// Sets the faults of the platform, possibly to none.
    Faults(PlatformFaults),
}

/// A call of one step.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// Index of the router to which it is sent.
    pub router: usize,
    /// Request timeout.
    pub timeout_ms: u64,
    /// Time after which its caller disconnects; `None` if it stays.
    pub leave_after_ms: Option<u64>,
    /// Model or service that it calls.
    pub target: PlannedTarget,
}

/// Model or service that a call goes to.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedTarget {
    /// A call that must not be repeated, with one of the trial's idempotency keys.
    Keyed(u32),
    /// A completion, streamed or whole.
    Completion {
        /// Whether it is streamed.
        stream: bool,
        /// Number of tokens of its response.
        tokens: u64,
    },
    /// A completion that crashes the engine that runs it.
    Poison,
}

/// Draws the steps of a trial with the given numbers of agents and routers.
pub fn draw_steps(
    source: &mut Unstructured<'_>,
    agents: usize,
    routers: usize,
) -> Result<Vec<Step>> {
    (0..STEPS)
        .map(|_| draw_step(source, agents, routers))
        .collect()
}

/// Draws the steps of a trial without faults, in which agents and routers are only drained and
/// replaced. Callers don't disconnect, and their timeouts outlast every drain.
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
