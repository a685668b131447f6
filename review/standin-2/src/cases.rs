//! The cases. Each ends with the check of one rule of the users' pages.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{Client, next_id},
    fleet::Fleet,
    server::Sizes,
    store::Outage,
    traffic::{Load, Traffic},
};

/// `DrainMs` of the settings.
const DRAIN_MS: u64 = 2000;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Sleeps until so long after the start.
fn at(start: Instant, seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(start.elapsed()));
}

fn reads(fleet: &Fleet, routers: &[usize], clients: usize, pause_ms: u64) -> Load {
    Load {
        routers: routers
            .iter()
            .map(|router| fleet.processes[*router].callers)
            .collect(),
        requests: vec![("GET /cufi504/fi50/2f".to_owned(), String::new())],
        clients,
        pause: Duration::from_millis(pause_ms),
        deadline_ms: 1500,
    }
}

/// A server leaves without a word to the store, and the store comes back from a copy.
pub fn departure(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    let servers: Vec<_> = (10..18).map(|number| fleet.start_plain(number)).collect();
    let leaver = &servers[0];
    fleet.write_config(7, None);
    let router = fleet.start_router(1);
    if !fleet.wait_until_ready(router) {
        return Verdict::NotRun("the router isn't ready".to_owned());
    }
    let traffic = Traffic::start(&reads(fleet, &[router], 4, 40), &fleet.names, &fleet.record);
    let start = Instant::now();
    at(start, 2.0);
    let copy = fleet.store.copy();
    fleet.record.note("store: a copy is taken");
    at(start, 3.0);
    leaver.state().is_leaving = true;
    fleet.record.note(format!(
        "{} leaves, says so in its answers, and serves on",
        leaver.id
    ));
    at(start, 3.5);
    leaver.state().writes_entry = false;
    fleet.store.remove("servers", &leaver.id);
    fleet
        .record
        .note(format!("store: the entry of {} is removed", leaver.id));
    at(start, 6.0);
    if has_trouble {
        fleet.store.set_outage(Outage::Reset);
        fleet.record.note("store: away");
        at(start, 6.5);
        fleet.store.restore(&copy);
        fleet.store.set_outage(Outage::None);
        fleet.record.note("store: back from the copy");
    }
    at(start, 8.0);
    fleet.store.remove("servers", &leaver.id);
    fleet.record.note(format!(
        "store: the entry of {} is removed again",
        leaver.id
    ));
    at(start, 10.0);
    let answers = traffic.end();
    let Some(passed_on_ms) = answers
        .iter()
        .filter(|answer| answer.is_leaving)
        .map(|answer| answer.ended_ms)
        .min()
    else {
        return Verdict::NotRun("no answer said that the server leaves".to_owned());
    };
    let sent: BTreeMap<&str, u64> = answers
        .iter()
        .map(|answer| (&*answer.id, answer.sent_ms))
        .collect();
    let late: Vec<String> = leaver
        .state()
        .arrivals
        .iter()
        .filter(|arrival| arrival.status != 421)
        .filter_map(|arrival| {
            let sent_ms = *sent.get(&*arrival.id)?;
            (sent_ms > passed_on_ms + DRAIN_MS).then(|| format!("{} sent at {sent_ms}", arrival.id))
        })
        .collect();
    let served: usize = servers[1..].iter().map(|s| s.state().arrivals.len()).sum();
    let line = format!(
        "{} requests reached {} that clients had sent later than {DRAIN_MS} ms after the router \
        passed on at {passed_on_ms} that it leaves; the other servers got {served}{}",
        late.len(),
        leaver.id,
        late.first()
            .map_or(String::new(), |first| format!("; the first: {first}"))
    );
    if late.is_empty() {
        Verdict::Held(line)
    } else {
        Verdict::Broken(line)
    }
}

/// A server asks for a pause, and is then cut off from the store for a while.
pub fn pause(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    const PAUSE_S: u64 = 20;
    let servers: Vec<_> = (10..15).map(|number| fleet.start_plain(number)).collect();
    let paused = &servers[0];
    fleet.write_config(7, None);
    let router = fleet.start_router(1);
    if !fleet.wait_until_ready(router) {
        return Verdict::NotRun("the router isn't ready".to_owned());
    }
    let traffic = Traffic::start(&reads(fleet, &[router], 4, 40), &fleet.names, &fleet.record);
    let start = Instant::now();
    at(start, 1.0);
    paused.state().sheds = Some((Instant::now() + seconds(2.0), PAUSE_S));
    fleet.record.note(format!("{} sheds", paused.id));
    at(start, 2.0);
    if has_trouble {
        paused.state().reaches_store = false;
        fleet
            .record
            .note(format!("{} is cut off from the store", paused.id));
    }
    at(start, 7.0);
    paused.state().reaches_store = true;
    if has_trouble {
        fleet
            .record
            .note(format!("{} reaches the store again", paused.id));
    }
    at(start, 14.0);
    traffic.end();
    let arrivals = paused.state().arrivals.clone();
    let Some(asked) = arrivals.iter().find(|arrival| arrival.status == 503) else {
        return Verdict::NotRun("the server turned nothing away".to_owned());
    };
    let span = asked.at_ms + 500..asked.at_ms + PAUSE_S * 1000;
    let early: Vec<&_> = arrivals
        .iter()
        .filter(|arrival| span.contains(&arrival.at_ms))
        .collect();
    let line = format!(
        "{} requests reached {} from the router in the {PAUSE_S} s for which it had asked at {} to \
        get none, later than half a second after that{}",
        early.len(),
        paused.id,
        asked.at_ms,
        early.first().map_or(String::new(), |first| format!(
            "; the first at {}",
            first.at_ms
        ))
    );
    if early.len() > 2 {
        Verdict::Broken(line)
    } else {
        Verdict::Held(line)
    }
}

/// Demand for adapters at a model server whose weights leave room for three. It crashes on an order for more.
pub fn adapters(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    let model_mb = ["m0", "m1", "m2"].map(|model| (model.to_owned(), 66_600.0));
    let sizes = Sizes {
        weights_mb: 200_000.0,
        adapter_slots: 8,
        model_mb: model_mb.into_iter().collect(),
        adapter_mb: 66.0,
        load: seconds(6.0),
        disk_load: seconds(0.68),
        memory_load: seconds(0.44),
    };
    fleet.write_config(7, Some(&sizes));
    let engine = fleet.start_engine(20, sizes, &["m0", "m1", "m2"]);
    fleet.start_agent(&engine);
    let router = fleet.start_router(1);
    if !fleet.wait_until_ready(router) {
        return Verdict::NotRun("the router isn't ready".to_owned());
    }
    let stream = |model: &str, adapter: usize| {
        let more = format!(
            "{}: {model}/a{adapter}\r\n{}: 543,47\r\n",
            fleet.names.header("Model"),
            fleet.names.header("Token-Counts")
        );
        ("POST /lohu930/2f".to_owned(), more)
    };
    let adapters = if has_trouble { 6 } else { 3 };
    let load = Load {
        requests: (1..=adapters).map(|number| stream("m0", number)).collect(),
        deadline_ms: 12_000,
        ..reads(fleet, &[router], 6, 100)
    };
    let traffic = Traffic::start(&load, &fleet.names, &fleet.record);
    std::thread::sleep(seconds(8.0));
    let answers = traffic.end();
    let served = answers.iter().filter(|a| a.status == 200).count();
    let state = engine.state();
    let line = format!(
        "{} orders exceeded the memory; {served} of {} requests were served{}",
        state.overloads.len(),
        answers.len(),
        state
            .overloads
            .first()
            .map_or(String::new(), |first| format!("; the first: {first}"))
    );
    if !state.overloads.is_empty() {
        Verdict::Broken(line)
    } else if served == 0 {
        Verdict::NotRun(line)
    } else {
        Verdict::Held(line)
    }
}

/// A model server starts again under its id with another software version while the store is away, and
/// goes down once more after the store is back.
pub fn versions(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    let sizes = Sizes {
        weights_mb: 200_000.0,
        adapter_slots: 8,
        model_mb: ["m0", "m1"]
            .map(|model| (model.to_owned(), 72_700.0))
            .into_iter()
            .collect(),
        adapter_mb: 66.0,
        load: seconds(6.0),
        disk_load: seconds(0.68),
        memory_load: seconds(0.44),
    };
    fleet.write_config(7, Some(&sizes));
    let engines: Vec<_> = (20..24)
        .map(|number| fleet.start_engine(number, sizes.clone(), &["m0", "m1"]))
        .collect();
    for engine in &engines {
        let mut state = engine.state();
        state.events = 47;
        state.event_gap = Duration::from_millis(100);
        drop(state);
        fleet.start_agent(engine);
    }
    let flapping = &engines[0];
    let router = fleet.start_router(1);
    if !fleet.wait_until_ready(router) {
        return Verdict::NotRun("the router isn't ready".to_owned());
    }
    let more = format!(
        "{}: m0\r\n{}: 543,47\r\n",
        fleet.names.header("Model"),
        fleet.names.header("Token-Counts")
    );
    let load = Load {
        requests: vec![("POST /lohu930/2f".to_owned(), more)],
        deadline_ms: 12_000,
        ..reads(fleet, &[router], 60, 50)
    };
    let traffic = Traffic::start(&load, &fleet.names, &fleet.record);
    let start = Instant::now();
    at(start, 3.0);
    let down = |fleet: &Fleet| {
        flapping.crash();
        fleet.record.note(format!("{} goes down", flapping.id));
    };
    if has_trouble {
        fleet.store.set_outage(Outage::Busy);
        fleet.record.note("store: down");
    }
    at(start, 3.5);
    down(fleet);
    at(start, 5.5);
    flapping.start_again("v2");
    fleet
        .record
        .note(format!("{} is up again as v2", flapping.id));
    at(start, 10.5);
    if has_trouble {
        fleet.store.set_outage(Outage::None);
        fleet.record.note("store: back");
    }
    at(start, 12.5);
    down(fleet);
    at(start, 14.5);
    flapping.start_again("v2");
    at(start, 18.0);
    let answers = traffic.end();
    let mixed: Vec<String> = answers
        .iter()
        .filter(|answer| answer.body.contains(" v1 ") && answer.body.contains(" v2 "))
        .map(|answer| answer.id.clone())
        .collect();
    let line = format!(
        "{} of {} streams hold events of two software versions",
        mixed.len(),
        answers.len()
    );
    if mixed.len() > 2 {
        Verdict::Broken(line)
    } else {
        Verdict::Held(line)
    }
}

/// A model server is cut off from all machines, crashes behind the cut and starts again.
pub fn cut(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    const EVENTS: u64 = 47;
    let sizes = Sizes {
        weights_mb: 200_000.0,
        adapter_slots: 8,
        model_mb: [("m0".to_owned(), 42_700.0)].into_iter().collect(),
        adapter_mb: 66.0,
        load: seconds(6.0),
        disk_load: seconds(0.68),
        memory_load: seconds(0.44),
    };
    fleet.write_config(7, Some(&sizes));
    let engines: Vec<_> = (20..26)
        .map(|number| fleet.start_engine(number, sizes.clone(), &["m0"]))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        let mut state = engine.state();
        state.events = EVENTS;
        state.event_gap = Duration::from_millis(100);
        // Half of the servers, and one in 33 of their answers.
        state.unframed = (index < 3).then_some((33, 20));
        drop(state);
        fleet.start_agent(engine);
    }
    let cut_off = &engines[0];
    let router = fleet.start_router(1);
    if !fleet.wait_until_ready(router) {
        return Verdict::NotRun("the router isn't ready".to_owned());
    }
    let more = format!(
        "{}: m0\r\n{}: 543,47\r\n",
        fleet.names.header("Model"),
        fleet.names.header("Token-Counts")
    );
    let load = Load {
        requests: vec![("POST /pufi791/2f".to_owned(), more)],
        deadline_ms: 25_000,
        ..reads(fleet, &[router], 180, 50)
    };
    let traffic = Traffic::start(&load, &fleet.names, &fleet.record);
    let start = Instant::now();
    at(start, 2.0);
    if has_trouble {
        cut_off.link.set_cut(true);
        cut_off.state().reaches_store = false;
        fleet
            .record
            .note(format!("{} is cut off from all machines", cut_off.id));
        at(start, 3.0);
        cut_off.crash();
        fleet.record.note(format!("{} crashes", cut_off.id));
        at(start, 5.0);
        cut_off.start_again("v1");
        fleet.record.note(format!("{} is up again", cut_off.id));
        at(start, 7.0);
        cut_off.link.set_cut(false);
        cut_off.state().reaches_store = true;
        fleet.record.note("the cut heals");
    }
    at(start, 12.0);
    let answers = traffic.end();
    let short: Vec<String> = answers
        .iter()
        .filter(|answer| answer.status == 200 && answer.is_complete)
        .filter(|answer| !answer.body.contains(&format!("id: {EVENTS}\n")))
        .map(|answer| {
            let events = answer.body.matches("id: ").count();
            format!(
                "{} ended as complete at {} after {events} events",
                answer.id, answer.ended_ms
            )
        })
        .collect();
    let line = format!(
        "{} of {} streams ended as complete before their last event{}",
        short.len(),
        answers.len(),
        short
            .first()
            .map_or(String::new(), |first| format!("; the first: {first}"))
    );
    if short.is_empty() {
        Verdict::Held(line)
    } else {
        Verdict::Broken(line)
    }
}

/// A router and all agents are killed at one moment, and clients take their streams up elsewhere.
pub fn retaken(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    const STREAMS: usize = 40;
    const TRIES: usize = 1;
    const DEADLINE_MS: u64 = 12_000;
    let sizes = Sizes {
        weights_mb: 200_000.0,
        adapter_slots: 8,
        model_mb: [("m0".to_owned(), 42_700.0)].into_iter().collect(),
        adapter_mb: 66.0,
        load: seconds(6.0),
        disk_load: seconds(0.68),
        memory_load: seconds(0.44),
    };
    fleet.write_config(7, Some(&sizes));
    let mut killed = Vec::new();
    let mut engines = Vec::new();
    for number in 20..24 {
        let engine = fleet.start_engine(number, sizes.clone(), &["m0"]);
        let mut state = engine.state();
        state.version = if number < 22 { "v1" } else { "v2" }.to_owned();
        state.events = 47;
        state.event_gap = Duration::from_millis(150);
        drop(state);
        killed.push((fleet.start_agent(&engine), "agent"));
        engines.push(engine);
    }
    let routers: Vec<usize> = (1..6).map(|number| fleet.start_router(number)).collect();
    killed.push((routers[0], "router"));
    for router in &routers {
        if !fleet.wait_until_ready(*router) {
            return Verdict::NotRun("a router isn't ready".to_owned());
        }
    }
    // So that agents have told routers of themselves.
    std::thread::sleep(seconds(3.0));
    let addresses: Vec<_> = routers
        .iter()
        .map(|router| fleet.processes[*router].callers)
        .collect();
    let head = format!(
        "{}: m0\r\n{}: 543,47\r\n",
        fleet.names.header("Model"),
        fleet.names.header("Token-Counts")
    );
    let start = Instant::now();
    let leaves_at = (!has_trouble).then(|| start + seconds(3.0));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (names, record) = (fleet.names.clone(), fleet.record.clone());
            let (addresses, head) = (addresses.clone(), head.clone());
            std::thread::spawn(move || {
                let path = format!("POST /lohu930/{number:x}");
                let first_id = next_id();
                let mut client = Client::new(addresses[0], &names, &record);
                client.leaves_at = leaves_at;
                let sent = Instant::now();
                let began = client.call(&path, &first_id, DEADLINE_MS, &head);
                let last = began.body.matches("\n\n").count();
                if began.is_complete || last == 0 {
                    return None;
                }
                for attempt in 0..TRIES {
                    std::thread::sleep(seconds(1.0));
                    let other = addresses[1 + (number + attempt) % (addresses.len() - 1)];
                    let more = format!("{head}Last-Event-Id: {last}\r\nResumes: {first_id}\r\n");
                    let mut client = Client::new(other, &names, &record);
                    let left_ms = DEADLINE_MS - sent.elapsed().as_millis() as u64;
                    let rest = client.call(&path, &next_id(), left_ms, &more);
                    if rest.status == 200 && rest.is_complete {
                        return Some(true);
                    }
                }
                Some(false)
            })
        })
        .collect();
    at(start, 3.0);
    if has_trouble {
        for (process, _) in &killed {
            fleet.kill(*process);
        }
    }
    let load = Load {
        requests: vec![("POST /lohu930/2f".to_owned(), head)],
        deadline_ms: 12_000,
        ..reads(fleet, &routers[1..], 20, 50)
    };
    let new_ones = Traffic::start(&load, &fleet.names, &fleet.record);
    at(start, 4.0);
    if has_trouble {
        for (process, role) in &killed {
            fleet.start_again(*process, role);
        }
    }
    let taken_up: Vec<bool> = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten())
        .collect();
    let new_ones = new_ones.end();
    let went_on = taken_up.iter().filter(|went_on| **went_on).count();
    let began = new_ones
        .iter()
        .filter(|answer| answer.status == 200)
        .count();
    let line = format!(
        "{went_on} of {} streams that were taken up at routers that stand went on; {began} of {} \
        new ones began there",
        taken_up.len(),
        new_ones.len()
    );
    if taken_up.len() < 12 || new_ones.is_empty() {
        return Verdict::NotRun(line);
    }
    let share = went_on as f64 / taken_up.len() as f64;
    if share < began as f64 / new_ones.len() as f64 / 2.0 {
        Verdict::Broken(line)
    } else {
        Verdict::Held(line)
    }
}
