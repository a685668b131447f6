//! The size that is planned for, and what it costs by the measured slopes.

use std::fmt::Write;

use celerystair_node::spread::{NEIGHBOUR_COUNT, POLL_INTERVAL_MS, WATCHERS_PER_DOMAIN};
use eyre::OptionExt;

use crate::{fit::Line, measure::Measured, page::number, world::WATCH_TIMEOUT_MS};

const ROUTERS: f64 = 340.0;
const AGENTS: f64 = 1000.0;
const PROCESSES: f64 = ROUTERS + AGENTS;
const MODELS: f64 = 400.0;
const ADAPTERS: f64 = 86_000.0;
const REQUESTS_PER_SECOND: f64 = 5000.0;
const TOKENS_PER_SECOND: f64 = 2_200_000.0;
const CHANGES_PER_DAY: f64 = 4200.0;
const RESTARTS_PER_DAY: f64 = 152.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Exceptions that the document is taken to hold.
const EXCEPTIONS: f64 = 200.0;
/// Models and adapters that wake or fall idle in an hour, a second.
const WAKEUPS_PER_SECOND: f64 = 0.44 * (MODELS + ADAPTERS) / 3600.0;
const FAILURE_DOMAINS: f64 = 10.0;
const REGIONS: f64 = 3.0;
/// Servers taken to stand in one rack.
const RACK_AGENTS: f64 = 25.0;
const SLOTS_PER_MODEL: f64 = 2.0;
const WATCH_RENEWALS_PER_SECOND: f64 = 1000.0 / WATCH_TIMEOUT_MS as f64;
/// Processes that follow the platform; the others hear of what changes from neighbours.
const WATCHERS: f64 = WATCHERS_PER_DOMAIN as f64 * FAILURE_DOMAINS;
const TOLD: f64 = PROCESSES - WATCHERS;
/// Each process asks one neighbour a second for what is newer, and is asked as often.
const ASKS_PER_SECOND: f64 = 2.0 * 1000.0 / POLL_INTERVAL_MS as f64;
/// Neighbours that a process tells of a change.
const TOLD_NEIGHBOURS: f64 = NEIGHBOUR_COUNT as f64;
/// Connections that a router has at most: one to each agent.
const CONNECTIONS_PER_ROUTER: f64 = AGENTS;

const CPU_LIMIT_MS: f64 = 27.0;
const MEMORY_LIMIT_MB: f64 = 256.0;
const BYTES_LIMIT_KB: f64 = 17.0;
const READS_LIMIT: f64 = 2000.0;
const WRITES_LIMIT: f64 = 400.0;
const IN_FORCE_LIMIT_MS: f64 = 4000.0;
const FIRST_TOKEN_LIMIT_MS: f64 = 490.0;
const BETWEEN_TOKENS_LIMIT_MS: f64 = 39.0;

fn line<'a>(all: &'a [Measured], id: &str) -> eyre::Result<&'a Line> {
    let found = all.iter().find(|measured| measured.id == id);
    Ok(&found.ok_or_eyre(format!("{id} was not measured"))?.line)
}

/// One figure against its limit.
struct Row {
    role: &'static str,
    what: &'static str,
    value: f64,
    limit: f64,
    unit: &'static str,
    by: String,
}

impl Row {
    fn write(&self, table: &mut String) {
        let fits = if self.value <= self.limit {
            "yes"
        } else {
            "**no**"
        };
        writeln!(
            table,
            "| {} | {} | {} {} | {} {} | {fits} | {} |",
            self.role,
            self.what,
            number(self.value),
            self.unit,
            number(self.limit),
            self.unit,
            self.by
        )
        .ok();
    }
}

/// Reads a second of all processes while nothing happens: of those that follow the platform the
/// list of instances and watches that are renewed, and what the others read all the same.
fn idle_reads(all: &[Measured]) -> eyre::Result<f64> {
    let renewals = line(all, "watch_reads")?.slope * WATCH_RENEWALS_PER_SECOND;
    let watching = (line(all, "idle_reads")?.at(PROCESSES) + renewals) * WATCHERS;
    Ok(watching + line(all, "told_reads")?.at(PROCESSES).max(0.0) * TOLD)
}

/// Reads of all processes that follow a change of a placement or another shared object.
fn change_reads(all: &[Measured]) -> eyre::Result<f64> {
    let watching = line(all, "change_reads")?.points[0].1 * WATCHERS;
    Ok(watching + line(all, "told_change_reads")?.at(PROCESSES).max(0.0) * TOLD)
}

/// Memory of a process's mirrors at the plan's size, in megabytes.
fn mirrors_mb(all: &[Measured]) -> eyre::Result<f64> {
    let fixed = line(all, "model_memory")?.fixed.max(0.0);
    let slopes = line(all, "model_memory")?.slope * MODELS
        + line(all, "adapter_memory")?.slope * ADAPTERS
        + line(all, "agent_memory")?.slope * PROCESSES;
    Ok((fixed + slopes) / 1e6)
}

/// Bytes that a process reads when it starts, in megabytes.
fn start_mb(all: &[Measured]) -> eyre::Result<f64> {
    let bytes = line(all, "model_start_bytes")?.at(MODELS)
        + line(all, "adapter_start_bytes")?.slope * ADAPTERS
        + line(all, "agent_start_bytes")?.slope * PROCESSES;
    Ok(bytes / 1e6)
}

/// The ordinary day at the peak, against the limits.
pub fn table(all: &[Measured]) -> eyre::Result<String> {
    let mut text = String::from(
        "| role | what | at the plan's size | limit | fits | worked out from |\n|---|---|---|---|---|---|\n",
    );
    let changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let change_bytes = line(all, "change_bytes")?.at(EXCEPTIONS);
    let idle_cpu = line(all, "idle_cpu")?.at(PROCESSES)
        + line(all, "watch_cpu")?.slope * WATCH_RENEWALS_PER_SECOND;
    let idle_bytes = line(all, "idle_bytes")?.at(PROCESSES) / 1000.0;
    let change_cpu = line(all, "change_cpu")?.slope * changes_per_second;
    let start_bytes = start_mb(all)? * 1000.0 / SECONDS_PER_DAY * (RESTARTS_PER_DAY / PROCESSES);
    let connection_mb = line(all, "connection_memory")?.slope / 1e6;
    let idle_reads = idle_reads(all)?;
    let change_reads = line(all, "change_reads")?.points[0].1 * WATCHERS;
    let ask_cpu = line(all, "call_cpu")?.slope
        * (ASKS_PER_SECOND + 2.0 * TOLD_NEIGHBOURS * changes_per_second);
    let ask_bytes = line(all, "call_bytes")?.slope
        * (ASKS_PER_SECOND + 2.0 * TOLD_NEIGHBOURS * changes_per_second)
        / 1000.0;
    let wake_cpu = |share: f64| -> eyre::Result<f64> {
        Ok(line(all, "wake_adapter_agent_cpu")?.slope * WAKEUPS_PER_SECOND / share)
    };
    let bytes = idle_bytes + ask_bytes + change_bytes * changes_per_second / 1000.0 + start_bytes;
    let control_cpu = idle_cpu + change_cpu + ask_cpu;
    let rows = [
        Row {
            role: "router",
            what: "processor time for control, a second",
            value: control_cpu + line(all, "connection_idle_cpu")?.slope.max(0.0) * CONNECTIONS_PER_ROUTER,
            limit: CPU_LIMIT_MS,
            unit: "ms",
            by: "`idle_cpu` at 1,340 instances, `watch_cpu` × 1/30, `change_cpu` × 0.049 changes a second, `call_cpu` × 2.6 asks and tellings a second, `connection_idle_cpu` × 1,000".to_owned(),
        },
        Row {
            role: "agent",
            what: "processor time for control, a second",
            value: control_cpu + wake_cpu(AGENTS)? + line(all, "connection_idle_cpu")?.slope.max(0.0) * ROUTERS,
            limit: CPU_LIMIT_MS,
            unit: "ms",
            by: format!("as the router's, with 340 connections and `wake_adapter_agent_cpu` × {} wake-ups a second over 1,000 agents", number(WAKEUPS_PER_SECOND)),
        },
        Row {
            role: "router",
            what: "memory for control",
            value: mirrors_mb(all)? + connection_mb * CONNECTIONS_PER_ROUTER,
            limit: MEMORY_LIMIT_MB,
            unit: "MB",
            by: "`model_memory` × 400, `adapter_memory` × 86,000, `agent_memory` × 1,340, `connection_memory` (both ends) × 1,000".to_owned(),
        },
        Row {
            role: "agent",
            what: "memory for control",
            value: mirrors_mb(all)? + connection_mb * ROUTERS,
            limit: MEMORY_LIMIT_MB,
            unit: "MB",
            by: "the same, with 340 connections".to_owned(),
        },
        Row {
            role: "router, agent",
            what: "bytes for control, a second",
            value: bytes,
            limit: BYTES_LIMIT_KB,
            unit: "KB",
            by: format!(
                "`idle_bytes` at 1,340 instances ({} KB), `change_bytes` at 200 exceptions ({} KB each), `call_bytes` × 2.6 ({} KB), starts ({} KB)",
                number(idle_bytes), number(change_bytes / 1000.0),
                number(ask_bytes),
                number(start_bytes)
            ),
        },
        Row {
            role: "store",
            what: "reads a second while nothing happens",
            value: idle_reads,
            limit: READS_LIMIT,
            unit: "",
            by: "(`idle_reads` + `watch_reads` × 1/30 renewals a second) × 20 processes that follow the platform, `told_reads` × 1,320 others".to_owned(),
        },
        Row {
            role: "store",
            what: "reads in the second of one change",
            value: idle_reads + change_reads,
            limit: READS_LIMIT,
            unit: "",
            by: "and `change_reads` × 20 processes that follow the platform; the others hear of it from their neighbours".to_owned(),
        },
        Row {
            role: "store",
            what: "writes a second",
            value: changes_per_second + RESTARTS_PER_DAY * 2.0 / SECONDS_PER_DAY,
            limit: WRITES_LIMIT,
            unit: "",
            by: format!(
                "4,200 changes and two writes for each of 152 restarts a day; wake-ups write nothing (`wake_model_writes` at the largest size: {})",
                number(line(all, "wake_model_writes")?.points.last().map_or(0.0, |p| p.1))
            ),
        },
        Row {
            role: "all",
            what: "a change in force everywhere, slowest of four processes",
            value: line(all, "change_in_force")?.points.iter().map(|p| p.1).fold(0.0, f64::max),
            limit: IN_FORCE_LIMIT_MS,
            unit: "ms",
            by: "`change_in_force`, largest of all sizes; the spread over 1,340 processes is not measured".to_owned(),
        },
        Row {
            role: "router, agent",
            what: "first token p95, with an engine that takes 20 ms",
            value: line(all, "first_token")?.points.iter().map(|p| p.1).fold(0.0, f64::max),
            limit: FIRST_TOKEN_LIMIT_MS,
            unit: "ms",
            by: "`first_token`, largest; models that are awake".to_owned(),
        },
        Row {
            role: "router, agent",
            what: "between tokens p95, with an engine that takes 20 ms",
            value: line(all, "between_tokens")?.points.iter().map(|p| p.1).fold(0.0, f64::max),
            limit: BETWEEN_TOKENS_LIMIT_MS,
            unit: "ms",
            by: "`between_tokens`, largest".to_owned(),
        },
    ];
    for row in &rows {
        row.write(&mut text);
    }
    text.push_str(&serving(all)?);
    Ok(text)
}

/// What serving itself takes; the plan sets no limit to it but the machine's.
fn serving(all: &[Measured]) -> eyre::Result<String> {
    let of = |role: &str, nodes: f64| -> eyre::Result<f64> {
        let request = line(all, &format!("request_{role}_cpu"))?.slope;
        let token = line(all, &format!("token_{role}_cpu"))?.slope;
        // The slope by requests has the work of their 8 tokens in it.
        let bare_request = (request - 8.0 * token).max(0.0);
        Ok((bare_request * REQUESTS_PER_SECOND + token * TOKENS_PER_SECOND) / nodes)
    };
    Ok(format!(
        "\nServing itself, which is not control, takes {} ms a second of a router's core at 14.7 requests and 6,470 \
         tokens a second, and {} ms a second beside each upstream at 5 requests and 2,200 tokens a second. A waiting \
         request takes {} KB of memory over caller, router and agent together.\n",
        number(of("router", ROUTERS)?),
        number(of("agent", AGENTS)?),
        number(line(all, "waiting_memory")?.slope / 1000.0)
    ))
}

/// What the bad days ask of the store and of the processes.
pub fn bad_days(all: &[Measured]) -> eyre::Result<String> {
    let idle_reads = idle_reads(all)?;
    let spare = READS_LIMIT - idle_reads;
    let per_change = change_reads(all)?;
    let slots_per_agent = MODELS * SLOTS_PER_MODEL / AGENTS;
    let seconds = |reads: f64| {
        if spare > 0.0 {
            format!("{} s", number(reads / spare))
        } else {
            "never: nothing is spare".to_owned()
        }
    };
    let start = start_mb(all)?;
    let mut text = String::from(
        "| event | writes | reads that follow | until all have read, at the spare rate | bytes |\n|---|---|---|---|---|\n",
    );
    let mut moved = |event: &str, agents: f64| {
        let writes = agents * slots_per_agent;
        let reads = writes * per_change;
        writeln!(
            text,
            "| {event} | {} slots move | {} | {} | small |",
            number(writes),
            number(reads),
            seconds(reads)
        )
        .ok();
    };
    moved("a rack of 25 servers", RACK_AGENTS);
    moved(
        "a failure domain at the peak (100 servers, 34 routers)",
        AGENTS / FAILURE_DOMAINS,
    );
    let lists = line(all, "watch_reads")?.slope + 1.0;
    let mut starts = |event: &str, processes: f64| {
        let reads = processes * lists;
        writeln!(
            text,
            "| {event} | 0 | {} | {} | {} MB from the store |",
            number(reads),
            seconds(reads),
            number(processes * start)
        )
        .ok();
    };
    starts(
        "a region is back after an hour (447 processes, of which every one asks before it is told)",
        PROCESSES / REGIONS,
    );
    starts("all 340 routers restart", ROUTERS);
    starts(
        "the store is back after an hour, all watches too old, and every process asks before it is told",
        PROCESSES,
    );
    writeln!(
        text,
        "\nThe spare rate is 2,000 reads a second less {} that pass while nothing happens.",
        number(idle_reads)
    )
    .ok();
    Ok(text)
}
