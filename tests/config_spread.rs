//! Configuration over several processes, against an oracle that keeps every accepted change:
//! racing operators, outages, lost answers, stale reads and restarts.

mod support;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use celerystair::{
    config::{change::Edit, commands::write_changes::WriteError, prelude::*},
    core::prelude::*,
    standin::prelude::*,
};
use futures_util::future::join_all;
use serde_json::json;
use support::{
    block_on,
    config::{Process, any_change, for_seeds, set_faults, start_platform, wait_until},
};

fn queue_max(change_id: &str, based_on: u64, value: u64) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.to_owned(),
        based_on,
        author: "ada".to_owned(),
        reason: "a test".to_owned(),
        edits: vec![Edit::SetDefault {
            field: "queue_max".to_owned(),
            value: json!(value),
        }],
    }
}

async fn start_processes(url: &str, count: usize) -> Vec<Process> {
    let mut processes = Vec::new();
    for number in 0..count {
        let process = Process::start(&format!("p{number}"), url, Vec::new());
        process.announce().await;
        processes.push(process);
    }
    for process in &processes {
        wait_until(
            || process.node.agents.all().len() == count,
            "every process knows every other",
        )
        .await;
        process.node.config.wait_until_known().await;
    }
    processes
}

/// Writes until the outcome is certain, with the same id, as operators are told to.
async fn settle(process: &Process, change: &ChangeRequest) -> Result<u64, WriteError> {
    loop {
        let deadline_unix_ms = now_unix_ms() + 2000;
        match process.writer.write(change.clone(), deadline_unix_ms).await {
            Ok(accepted) => return Ok(accepted.revision),
            Err(error @ WriteError::Refused(_)) => return Err(error),
            Err(_) => sleep_ms(10).await,
        }
    }
}

#[test]
fn what_was_accepted_is_in_force_everywhere_after_faults() {
    for_seeds(6, |u| {
        // Choices are made first, so that the run depends on the seed and not on what it sees.
        let mut rounds = Vec::new();
        for round in 0..4 {
            let faults = PlatformFaults {
                slow_ms: *u.choose(&[0, 0, 20])?,
                lose_write_answers_percent: *u.choose(&[0, 30, 60])?,
                stale_reads_percent: *u.choose(&[0, 30, 60])?,
                missed_watches_percent: *u.choose(&[0, 50, 100])?,
                stale_watches_percent: *u.choose(&[0, 50, 100])?,
                down: false,
            };
            let mut changes = Vec::new();
            for number in 0..u.int_in_range(2..=8)? {
                let lag = u.int_in_range(0..=3)?;
                changes.push((lag, any_change(u, format!("c{round}-{number}"), 0)?));
            }
            rounds.push((faults, changes, u.ratio(1, 2)?, u.int_in_range(0..=3)?));
        }
        block_on(run_rounds(rounds));
        Ok(())
    });
}

type Round = (PlatformFaults, Vec<(u64, ChangeRequest)>, bool, usize);

async fn run_rounds(rounds: Vec<Round>) {
    let stop = Stop::new();
    let url = start_platform(&stop);
    let mut processes = start_processes(&url, 4).await;
    let mut ended: Vec<Process> = Vec::new();
    let accepted: Rc<RefCell<BTreeMap<u64, ChangeRequest>>> = Rc::default();
    for (faults, changes, outage, restarted) in rounds {
        set_faults(&url, &faults).await;
        let racing = changes
            .into_iter()
            .enumerate()
            .map(|(number, (lag, mut change))| {
                let process = &processes[number % processes.len()];
                let accepted = accepted.clone();
                async move {
                    change.based_on = process.node.config.revision().saturating_sub(lag);
                    if let Ok(revision) = settle(process, &change).await {
                        let before = accepted.borrow_mut().insert(revision, change);
                        assert!(before.is_none(), "revision {revision} is two changes");
                    }
                }
            });
        join_all(racing).await;
        if outage {
            let down = PlatformFaults {
                down: true,
                ..PlatformFaults::default()
            };
            set_faults(&url, &down).await;
        }
        let last = accepted.borrow().keys().last().copied().unwrap_or_default();
        for process in &processes {
            process.reaches(last).await;
        }
        let name = processes[restarted].node.name.clone();
        let peer = processes[(restarted + 1) % processes.len()].address;
        processes[restarted].end();
        let fresh = Process::start(&name, &url, vec![peer]);
        ended.push(std::mem::replace(&mut processes[restarted], fresh));
        processes[restarted].reaches(last).await;
        set_faults(&url, &PlatformFaults::default()).await;
        processes[restarted].announce().await;
    }
    let expected = replay(&accepted.borrow());
    for process in &processes {
        let found = process.node.config.current();
        assert_eq!(found.defaults, expected.defaults, "{}", process.node.name);
        assert_eq!(
            found.exceptions, expected.exceptions,
            "{}",
            process.node.name
        );
        assert_eq!(found.revision, expected.revision, "{}", process.node.name);
    }
    for process in processes.iter().chain(&ended) {
        let revisions = process.revisions.borrow();
        assert!(revisions.is_sorted_by(|a, b| a < b), "{revisions:?} fell");
    }
    processes.iter().for_each(Process::end);
    stop.end();
}

/// The document that results from every accepted change in the order of its revision.
fn replay(accepted: &BTreeMap<u64, ChangeRequest>) -> FleetDocument {
    let mut document = FleetDocument::default();
    for (revision, change) in accepted {
        assert_eq!(
            *revision,
            document.revision + 1,
            "a revision is nobody's change"
        );
        let change = ChangeRequest {
            based_on: document.revision,
            ..change.clone()
        };
        match apply_change(&document, &change, 0) {
            Ok(Applied::NewRevision(next)) => document = *next,
            other => panic!("{} can't have been accepted: {other:?}", change.change_id),
        }
    }
    document
}

#[test]
fn an_accepted_change_reaches_all_while_the_store_is_down() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let processes = start_processes(&url, 5).await;
        let revision = settle(&processes[0], &queue_max("c1", 0, 9))
            .await
            .expect("accepted");
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        set_faults(&url, &down).await;
        for process in &processes {
            process.reaches(revision).await;
        }
        let late = Process::start("late", &url, vec![processes[3].address]);
        late.reaches(revision).await;
        let first = late.first_revision().await;
        assert_eq!(first, revision, "a lower revision was in force first");
        processes.iter().for_each(Process::end);
        late.end();
        stop.end();
    });
}

#[test]
fn dead_neighbours_keep_a_change_from_nobody() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let processes = start_processes(&url, 9).await;
        for process in &processes[5..] {
            process.end();
        }
        let revision = settle(&processes[0], &queue_max("c1", 0, 9))
            .await
            .expect("accepted");
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        set_faults(&url, &down).await;
        for process in &processes[..5] {
            process.reaches(revision).await;
        }
        processes[..5].iter().for_each(Process::end);
        stop.end();
    });
}

#[test]
fn a_process_that_can_ask_nobody_does_not_claim_to_know() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        set_faults(&url, &down).await;
        let alone = Process::start("alone", &url, Vec::new());
        sleep_ms(300).await;
        assert!(!alone.node.config.is_known());
        set_faults(&url, &PlatformFaults::default()).await;
        alone.node.config.wait_until_known().await;
        alone.end();
        stop.end();
    });
}

#[test]
fn a_document_that_fails_the_check_is_not_put_in_force() {
    let config = FleetConfig::default();
    let document = |revision, retry_budget_percent| {
        Rc::new(FleetDocument {
            revision,
            defaults: Defaults {
                retry_budget_percent,
                ..Defaults::default()
            },
            ..FleetDocument::default()
        })
    };
    assert!(config.apply(document(3, 10)));
    assert!(
        !config.apply(document(4, 400)),
        "a bad value was put in force"
    );
    assert!(
        !config.apply(document(2, 5)),
        "a lower revision was put in force"
    );
    assert_eq!(config.revision(), 3);
    let refusal = config.take_refusal().map(|refusal| refusal.to_string());
    let refusal = refusal.unwrap_or_default();
    assert!(refusal.contains("revision 4"), "{refusal}");
    assert!(!config.apply_json(br#"{"revision": 9, "unfamiliar": 1}"#));
    let refusal = config.take_refusal().map(|refusal| refusal.to_string());
    assert!(refusal.unwrap_or_default().contains("unfamiliar"));
}

#[test]
fn a_released_backlog_needs_few_writes() {
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let processes = start_processes(&url, 2).await;
        let before = processes[0].node.store.calls();
        let writes = (0..340).map(|number| {
            let mut change = queue_max(&format!("c{number}"), 0, 1);
            let Edit::SetDefault { field, value } = &change.edits[0] else {
                unreachable!()
            };
            let scope = Scope {
                kind: ScopeKind::Model,
                name: format!("m{number}"),
            };
            change.edits = vec![Edit::SetException {
                scope,
                field: field.clone(),
                value: value.clone(),
                from_unix_ms: None,
                until_unix_ms: None,
            }];
            let writer = &processes[0].writer;
            async move { writer.write(change, now_unix_ms() + 60_000).await }
        });
        let mut revisions: Vec<u64> = join_all(writes)
            .await
            .into_iter()
            .map(|result| result.expect("accepted").revision)
            .collect();
        revisions.sort_unstable();
        assert_eq!(revisions, (1..=340).collect::<Vec<u64>>());
        let calls = processes[0].node.store.calls() - before;
        assert!(calls < 100, "{calls} calls for 340 edits asked for at once");
        processes[1].reaches(340).await;
        processes.iter().for_each(Process::end);
        stop.end();
    });
}
