//! News of the platform's list and objects, handed from process to process: who follows the
//! platform for the others, and what happens when these fail, lag or are cut off.

mod support;

use celerystair::{
    core::prelude::*,
    node::spread::{MIN_AGENTS_FOR_SHARING, WATCHERS_PER_DOMAIN},
    platform::{objects::PLACEMENT_KEY_PREFIX, prelude::*},
    standin::prelude::*,
};
use support::{
    block_on,
    config::{Process, set_faults, start_platform, wait_until},
};

/// Enough that not every process follows the platform.
const PROCESSES: usize = MIN_AGENTS_FOR_SHARING + 4;

/// Starts processes that know one another, and returns once few of them follow the platform.
async fn start_processes(url: &str) -> Vec<Process> {
    let mut processes = Vec::new();
    for number in 0..PROCESSES {
        let process = Process::start(&format!("p{number:02}"), url, Vec::new());
        process.announce().await;
        list(url, &process.node.name, "live").await;
        processes.push(process);
    }
    for process in &processes {
        let node = &process.node;
        let knows_all = || {
            let listed = processes
                .iter()
                .filter(|other| node.instances.state(&other.node.name).is_some());
            node.agents.len() == PROCESSES && listed.count() == PROCESSES
        };
        wait_until(knows_all, "every process knows every other").await;
        node.config.wait_until_known().await;
    }
    assert_eq!(followers(&processes).len(), WATCHERS_PER_DOMAIN);
    processes
}

/// Sets what the list shows of an instance.
async fn list(url: &str, instance: &str, state: &str) {
    let client = cyper::Client::new().expect("a client");
    let url = format!("{url}/instances/{instance}?state={state}");
    let request = client.post(url).expect("a request");
    let response = request.send().await.expect("an answer");
    assert_eq!(response.status(), 200);
}

fn followers(processes: &[Process]) -> Vec<&Process> {
    let follows = |process: &&Process| process.node.shared_items.reads_platform();
    processes.iter().filter(follows).collect()
}

fn others(processes: &[Process]) -> Vec<&Process> {
    let follows = |process: &&Process| !process.node.shared_items.reads_platform();
    processes.iter().filter(follows).collect()
}

async fn all_see(processes: &[&Process], instance: &str, state: Option<InstanceState>) {
    for process in processes {
        let instances = &process.node.instances;
        let sees = || {
            instances.state(instance) == state && (state.is_some() || instances.is_gone(instance))
        };
        let what = format!("{} sees {instance} {state:?}", process.node.name);
        wait_until(sees, &what).await;
    }
}

/// Writes a placement as somebody who is none of the processes; gives its version.
async fn place(store: &Store, model: &str, generation: u64) -> u64 {
    let key = format!("{PLACEMENT_KEY_PREFIX}{model}");
    let found = store.get(&key).await.expect("a read");
    let expected = found.map_or(Expected::Absent, |found| Expected::Version(found.version));
    let placement = PlacementObject {
        generation,
        ..PlacementObject::default()
    };
    let written = store.put(&key, &placement, expected, CallPriority::Normal);
    written.await.expect("a write")
}

async fn all_have(processes: &[&Process], model: &str, version: u64) {
    for process in processes {
        let placements = &process.node.placements;
        let has = || placements.get(model).map(|(version, _)| version) == Some(version);
        wait_until(
            has,
            &format!("{} has {model} at {version}", process.node.name),
        )
        .await;
    }
}

fn store_at(url: &str) -> Store {
    let settings = serde_json::json!({ "url": url });
    Store::new(serde_json::from_value(settings).expect("settings")).expect("a store")
}

fn down(down: bool) -> PlatformFaults {
    PlatformFaults {
        down,
        ..PlatformFaults::default()
    }
}

#[test]
fn what_two_read_of_the_list_reaches_all() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let processes = start_processes(&url).await;
        let all: Vec<&Process> = processes.iter().collect();
        list(&url, "new", "live").await;
        all_see(&all, "new", Some(InstanceState::Live)).await;
        list(&url, "new", "leaving").await;
        all_see(&all, "new", Some(InstanceState::Leaving)).await;
        list(&url, "new", "gone").await;
        all_see(&all, "new", None).await;
        processes.iter().for_each(Process::end);
        stop.end();
    });
}

#[test]
fn a_slot_that_moves_is_seen_by_all_and_read_by_few() {
    const MOVES: u64 = 40;
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let processes = start_processes(&url).await;
        let all: Vec<&Process> = processes.iter().collect();
        let told = others(&processes);
        let store = store_at(&url);
        // A watch that began before the fleet was large enough ends with this.
        all_have(&all, "m", place(&store, "m", 0).await).await;
        let calls = || told.iter().map(|p| p.node.store.calls()).sum::<u64>();
        let before = calls();
        for generation in 1..=MOVES {
            all_have(&all, "m", place(&store, "m", generation).await).await;
        }
        let made = calls() - before;
        let direct = MOVES * told.len() as u64;
        assert!(
            made < direct / 4,
            "{made} calls; by watches {direct} and more"
        );
        let key = format!("{PLACEMENT_KEY_PREFIX}m");
        let version = store.get(&key).await.expect("a read").map(|o| o.version);
        let deleted = store.delete(&key, version.unwrap_or_default());
        deleted.await.expect("a deletion");
        for process in &all {
            let lacks = || process.node.placements.get("m").is_none();
            wait_until(lacks, "the placement is deleted everywhere").await;
        }
        processes.iter().for_each(Process::end);
        stop.end();
    });
}

#[test]
fn others_read_the_list_when_its_readers_die() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let processes = start_processes(&url).await;
        // They end without a farewell, and the list drops them later.
        let dead: Vec<&Process> = followers(&processes);
        let left: Vec<&Process> = others(&processes);
        list(&url, "new", "live").await;
        for process in &dead {
            process.end();
            list(&url, &process.node.name, "gone").await;
        }
        for process in &dead {
            all_see(&left, &process.node.name, None).await;
        }
        all_see(&left, "new", Some(InstanceState::Live)).await;
        all_have(&left, "m", place(&store_at(&url), "m", 1).await).await;
        let next = followers(&processes);
        let next = next
            .iter()
            .filter(|p| !dead.iter().any(|d| d.node.name == p.node.name));
        assert_eq!(next.count(), WATCHERS_PER_DOMAIN);
        processes.iter().for_each(Process::end);
        stop.end();
    });
}

#[test]
fn others_read_for_themselves_when_those_who_follow_hang() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let processes = start_processes(&url).await;
        let left: Vec<&Process> = others(&processes);
        // The list goes on to show them, so nobody takes their place.
        for process in followers(&processes) {
            process.end();
        }
        let version = place(&store_at(&url), "m", 1).await;
        list(&url, "new", "live").await;
        all_have(&left, "m", version).await;
        all_see(&left, "new", Some(InstanceState::Live)).await;
        // They go on to do so, and not just once.
        let version = place(&store_at(&url), "m", 2).await;
        all_have(&left, "m", version).await;
        list(&url, "new", "gone").await;
        all_see(&left, "new", None).await;
        processes.iter().for_each(Process::end);
        stop.end();
    });
}

#[test]
fn news_spreads_while_the_platform_is_down() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let processes = start_processes(&url).await;
        let left = others(&processes);
        set_faults(&url, &down(true)).await;
        // What one process learned before the outage and has told nobody yet.
        let told = [SharedItem {
            key: "instances/new".to_owned(),
            version: 0,
            value: Vec::new().into(),
        }];
        left[0].node.shared_items.merge(told);
        all_see(&left, "new", Some(InstanceState::Live)).await;
        let value = serde_json::json!({ "generation": 7, "write_id": "w", "slots": [] });
        let moved = Object::new(format!("{PLACEMENT_KEY_PREFIX}m"), 1_000_000, &value);
        let moved = moved.expect("an object");
        left[1].node.placements.apply(&moved).expect("a placement");
        all_have(&left, "m", moved.version).await;
        processes.iter().for_each(Process::end);
        stop.end();
    });
}

#[test]
fn a_process_that_starts_in_an_outage_learns_the_objects_from_a_peer() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let early = Process::start("early", &url, Vec::new());
        early.announce().await;
        let version = place(&store_at(&url), "m", 3).await;
        all_have(&[&early], "m", version).await;
        let knows_all = || {
            let node = &early.node;
            let is_read = node.models.is_complete() && node.services.is_complete();
            is_read && node.agents.get("early").is_some()
        };
        wait_until(knows_all, "all is read").await;
        set_faults(&url, &down(true)).await;
        let late = Process::start("late", &url, vec![early.address]);
        let node = &late.node;
        let is_complete = || {
            node.agents.is_complete()
                && node.models.is_complete()
                && node.services.is_complete()
                && node.placements.is_complete()
        };
        wait_until(is_complete, "a process that starts knows the objects").await;
        // What is known as complete lacks nothing.
        assert_eq!(node.placements.get("m").map(|(at, _)| at), Some(version));
        assert!(node.agents.get("early").is_some());
        // What changes after the outage comes as before.
        set_faults(&url, &down(false)).await;
        let version = place(&store_at(&url), "m", 4).await;
        all_have(&[&early, &late], "m", version).await;
        early.end();
        late.end();
        stop.end();
    });
}

#[test]
fn a_process_that_knows_a_part_completes_nobody() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        set_faults(&url, &down(true)).await;
        let first = Process::start("first", &url, Vec::new());
        let second = Process::start("second", &url, vec![first.address]);
        let value = serde_json::json!({ "generation": 7, "write_id": "w", "slots": [] });
        let moved = Object::new(format!("{PLACEMENT_KEY_PREFIX}m"), 7, &value);
        let moved = moved.expect("an object");
        first.node.placements.apply(&moved).expect("a placement");
        all_have(&[&second], "m", moved.version).await;
        assert!(!second.node.placements.is_complete());
        first.end();
        second.end();
        stop.end();
    });
}

/// Instances that hand on to `shared`, without a platform.
fn start_instances(shared: &SharedItems, stop: &Stop) -> Instances {
    Instances::start(&store_at("http://127.0.0.1:9"), 1000, shared, stop)
}

fn hand_on(from: &SharedItems, to: &SharedItems) {
    to.merge(from.items_after(SharedPosition::default()).0);
}

fn live(instance: &str) -> InstanceEntry {
    InstanceEntry {
        instance: instance.into(),
        state: InstanceState::Live,
    }
}

#[test]
fn an_older_list_makes_nothing_gone_that_another_told_of() {
    block_on(async {
        let stop = Stop::new();
        let (fresh, behind) = (SharedItems::default(), SharedItems::default());
        let fresh_instances = start_instances(&fresh, &stop);
        let instances = start_instances(&behind, &stop);
        instances.apply_list(&[live("a")]);
        fresh_instances.apply_list(&[live("a"), live("b")]);
        hand_on(&fresh, &behind);
        assert!(instances.state("b").is_some());
        // A list that was on its way while the other told; it has no `b` yet.
        instances.apply_list(&[live("a")]);
        assert!(!instances.is_gone("b"), "its slots would move");
        assert!(instances.state("b").is_some());
        // A list of its own shows it, and the next one does not.
        instances.apply_list(&[live("a"), live("b")]);
        instances.apply_list(&[live("a")]);
        assert!(instances.is_gone("b"));
        stop.end();
    });
}

#[test]
fn a_neighbour_that_is_behind_brings_nothing_back() {
    block_on(async {
        let stop = Stop::new();
        let (one, two) = (SharedItems::default(), SharedItems::default());
        let first = start_instances(&one, &stop);
        let second = start_instances(&two, &stop);
        first.apply_list(&[live("a"), live("b")]);
        hand_on(&one, &two);
        first.apply_list(&[live("b")]);
        assert!(first.is_gone("a") && second.state("a").is_some());
        hand_on(&two, &one);
        assert!(first.is_gone("a"), "it came back by an older word");
        hand_on(&one, &two);
        assert!(second.is_gone("a"));
        assert_eq!(one.digest(), two.digest());
        // The platform shows it again after all; whoever reads that is believed.
        first.apply_list(&[live("a"), live("b")]);
        hand_on(&two, &one);
        hand_on(&one, &two);
        assert!(first.state("a").is_some() && second.state("a").is_some());
        stop.end();
    });
}

#[test]
fn a_deleted_object_is_not_brought_back_by_who_is_behind() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let store = store_at(&url);
        let (one, two) = (SharedItems::default(), SharedItems::default());
        let start = |shared| -> Mirror<PlacementObject> {
            Mirror::start_shared(
                &store_at("http://127.0.0.1:9"),
                PLACEMENT_KEY_PREFIX,
                shared,
                &stop,
            )
        };
        let first: Mirror<PlacementObject> =
            Mirror::start_shared(&store, PLACEMENT_KEY_PREFIX, &one, &stop);
        let second = start(&two);
        let version = place(&store, "m", 1).await;
        wait_until(|| first.get("m").is_some(), "it is watched").await;
        hand_on(&one, &two);
        assert_eq!(second.get("m").map(|(version, _)| version), Some(version));
        let key = format!("{PLACEMENT_KEY_PREFIX}m");
        let deleted = store.delete(&key, version);
        deleted.await.expect("a deletion");
        wait_until(|| first.get("m").is_none(), "the deletion is watched").await;
        hand_on(&two, &one);
        assert!(first.get("m").is_none(), "it came back");
        hand_on(&one, &two);
        assert!(second.get("m").is_none());
        // One of the same name that is made later is another.
        let version = place(&store, "m", 1).await;
        wait_until(|| first.get("m").is_some(), "the later one is watched").await;
        hand_on(&one, &two);
        assert_eq!(second.get("m").map(|(version, _)| version), Some(version));
        stop.end();
    });
}

#[test]
fn what_others_leave_out_replaces_no_instance() {
    block_on(async {
        let stop = Stop::new();
        let (one, two) = (SharedItems::default(), SharedItems::default());
        let first = start_instances(&one, &stop);
        let second = start_instances(&two, &stop);
        first.apply_list(&[live("a.2")]);
        hand_on(&one, &two);
        assert!(first.is_replaced_by("a.1", "a.2"));
        assert!(second.state("a.2").is_some());
        assert!(!second.is_replaced_by("a.1", "a.2"), "it has read no list");
        stop.end();
    });
}

#[test]
fn changes_alone_are_sent_and_all_after_a_gap() {
    let item = |number: u64, version| SharedItem {
        key: format!("models/m{number}"),
        version,
        value: b"{}".as_slice().into(),
    };
    let shared = SharedItems::default();
    for number in 1..=3 {
        shared.record(item(number, number));
    }
    let (sent, read) = shared.items_after(SharedPosition::default());
    assert_eq!(sent.len(), 3);
    assert!(shared.items_after(read).0.is_empty());
    shared.record(item(2, 9));
    shared.record(item(2, 4));
    assert_eq!(shared.items_after(read).0, [item(2, 9)]);
    let other_life = SharedPosition {
        incarnation: read.incarnation ^ 1,
        ..read
    };
    assert_eq!(shared.items_after(other_life).0.len(), 3);
    // A large state comes in parts, and each part once.
    let large = SharedItems::default();
    for number in 1..=40 {
        large.record(SharedItem {
            value: vec![b' '; 100_000].into(),
            ..item(number, number)
        });
    }
    let (mut reached, mut keys) = (SharedPosition::default(), Vec::new());
    while reached != large.position() {
        let (items, next) = large.items_after(reached);
        assert!(items.len() <= 12, "{} at once", items.len());
        keys.extend(items.into_iter().map(|item| item.key));
        reached = next;
    }
    let expected: Vec<String> = (1..=40).map(|n| item(n, n).key).collect();
    assert_eq!(keys, expected);
}
