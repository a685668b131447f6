//! Behaviour of a shard near the store's limit of one megabyte.

use celerystair_core::prelude::*;
use celerystair_journal::{
    entry::{JOURNAL_KEY_PREFIX, RECORDED_BODY_MAX_BYTES, SHARD_MAX_BYTES, ShardObject},
    prelude::*,
};
use celerystair_platform::prelude::*;
use celerystair_standin::prelude::*;
use futures_util::future::join_all;

const SHARD: u64 = 7;
/// Longer than any test runs.
const NEVER_EXPIRES_MS: u64 = 3_600_000;
const DEADLINE_MS: u64 = 120_000;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(work)
}

fn start_store() -> (Stop, Store) {
    let stop = Stop::new();
    let address = run_platform(PlatformSettings::default(), &stop).expect("the platform starts");
    let settings = StoreSettings {
        url: format!("http://{address}"),
        call_timeout_ms: 10_000,
        watch_timeout_ms: 10_000,
        calls_per_second: 200,
    };
    (stop, Store::new(settings).expect("the client is created"))
}

/// Returns the first `count` keys that fall into the shard, padded to nearly the maximum length if
/// `is_long`.
fn keys(count: usize, is_long: bool) -> Vec<CallKey> {
    let padding = if is_long {
        "x".repeat(240)
    } else {
        String::new()
    };
    let keys = (0_u64..).map(|number| CallKey {
        organisation: "office".into(),
        key: format!("{number}{padding}"),
    });
    keys.filter(|key| shard_of(key) == SHARD)
        .take(count)
        .collect()
}

fn entry(key: &CallKey, forget_unix_ms: u64) -> JournalEntry {
    JournalEntry {
        key: key.clone(),
        fingerprint: 1,
        attempt: AttemptId::random(),
        upstream: "u-1".into(),
        incarnation: "u-1-life".to_owned(),
        state: EntryState::Started,
        forget_unix_ms,
    }
}

fn recorded_response(body: &str) -> EntryState {
    EntryState::Done(RecordedAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: body.to_owned(),
    })
}

/// Claims all keys, requires that each is granted, and returns their entries.
async fn claim_all(journal: &Journal, keys: &[CallKey], forget_unix_ms: u64) -> Vec<JournalEntry> {
    let deadline_unix_ms = now_unix_ms() + DEADLINE_MS;
    let claims = keys.iter().map(|key| async move {
        let entry = entry(key, forget_unix_ms);
        let claimed = journal.claim(entry.clone(), deadline_unix_ms).await;
        assert_eq!(claimed, Ok(ClaimOutcome::Granted));
        entry
    });
    join_all(claims).await
}

async fn read_shard(store: &Store) -> ShardObject {
    let object = store.get(&format!("{JOURNAL_KEY_PREFIX}{SHARD}")).await;
    let object = object
        .expect("the store can be read")
        .expect("the shard exists");
    object.read().expect("the shard can be decoded")
}

async fn write_shard(store: &Store, object: &ShardObject) {
    let key = format!("{JOURNAL_KEY_PREFIX}{SHARD}");
    store
        .put(&key, object, Expected::Absent, CallPriority::Urgent)
        .await
        .expect("the shard is written");
}

/// Returns a shard with no space for another key, whose entries expire at `forget_unix_ms`.
fn full_shard(keys: &[CallKey], forget_unix_ms: u64) -> ShardObject {
    let mut object = ShardObject::default();
    let mut size_bytes = object.size_bytes();
    for key in keys {
        let entry = entry(key, forget_unix_ms);
        size_bytes += entry.size_bytes();
        if size_bytes > SHARD_MAX_BYTES {
            return object;
        }
        object.entries.push(entry);
    }
    panic!("the keys do not fill the shard");
}

// Outcomes that exceed the size limit must still be written, or the shard could never change again.
#[test]
fn outcomes_beyond_the_size_limit_are_written_without_their_responses() {
    block_on(async {
        let (stop, store) = start_store();
        let journal = Journal::new(&store);
        let forget_unix_ms = now_unix_ms() + NEVER_EXPIRES_MS;
        let keys = keys(400, false);
        let entries = claim_all(&journal, &keys, forget_unix_ms).await;
        // Each body has the maximum size; together they far exceed a megabyte.
        let body = "y".repeat(RECORDED_BODY_MAX_BYTES);
        let records = entries.iter().map(|entry| {
            journal.record(
                &entry.key,
                &entry.attempt,
                recorded_response(&body),
                now_unix_ms() + DEADLINE_MS,
            )
        });
        join_all(records).await;
        let object = read_shard(&store).await;
        assert!(object.size_bytes() <= SHARD_MAX_BYTES);
        let states = || object.entries.iter().map(|entry| &entry.state);
        assert_eq!(states().count(), keys.len());
        assert!(states().all(|state| *state != EntryState::Started));
        let kept = states().filter(|state| **state != EntryState::Unknown);
        assert!(kept.count() > 150);
        // The shard still accepts new keys.
        let more = self::keys(410, false).split_off(400);
        claim_all(&journal, &more, forget_unix_ms).await;
        stop.end();
    });
}

#[test]
fn a_response_that_json_escapes_make_too_large_is_not_kept() {
    block_on(async {
        let (stop, store) = start_store();
        let journal = Journal::new(&store);
        let forget_unix_ms = now_unix_ms() + NEVER_EXPIRES_MS;
        let entries = claim_all(&journal, &keys(1, false), forget_unix_ms).await;
        let body = "\u{1}".repeat(RECORDED_BODY_MAX_BYTES);
        let (key, attempt) = (&entries[0].key, &entries[0].attempt);
        journal
            .record(key, attempt, recorded_response(&body), forget_unix_ms)
            .await;
        let found = journal.look_up(key).await.expect("the store can be read");
        assert_eq!(found.expect("the entry exists").state, EntryState::Unknown);
        stop.end();
    });
}

#[test]
fn a_full_shard_refuses_new_keys_until_the_next_expiry_and_keeps_its_entries() {
    block_on(async {
        let (stop, store) = start_store();
        let forget_unix_ms = now_unix_ms() + NEVER_EXPIRES_MS;
        let mut keys = keys(4000, true);
        let mut object = full_shard(&keys, forget_unix_ms);
        let new_keys = keys.split_off(object.entries.len());
        // A recorded response that is too small to free space for a key, in a shard at its limit.
        object.entries[0].state = recorded_response("kept");
        while object.size_bytes() > SHARD_MAX_BYTES {
            object.entries.pop();
        }
        let free_bytes = SHARD_MAX_BYTES - object.size_bytes();
        object.entries[0]
            .incarnation
            .push_str(&"z".repeat(free_bytes));
        write_shard(&store, &object).await;
        let journal = Journal::new(&store);
        let deadline_unix_ms = now_unix_ms() + DEADLINE_MS;
        let claims = new_keys[..3]
            .iter()
            .map(|key| journal.claim(entry(key, forget_unix_ms), deadline_unix_ms));
        let next_expiry_unix_ms = forget_unix_ms;
        for claimed in join_all(claims).await {
            assert_eq!(
                claimed,
                Err(JournalError::Full {
                    next_expiry_unix_ms
                })
            );
        }
        // A key that has an entry is still looked up.
        let repeated = journal.claim(entry(&keys[0], forget_unix_ms), deadline_unix_ms);
        let Ok(ClaimOutcome::AlreadyClaimed(known)) = repeated.await else {
            panic!("the key was not reported as already claimed");
        };
        assert_eq!(known.state, recorded_response("kept"));
        stop.end();
    });
}

#[test]
fn expired_entries_of_a_full_shard_free_space_for_new_keys() {
    block_on(async {
        let (stop, store) = start_store();
        let mut keys = keys(4000, true);
        let object = full_shard(&keys, now_unix_ms() - 1);
        let new_keys = keys.split_off(object.entries.len());
        write_shard(&store, &object).await;
        let journal = Journal::new(&store);
        claim_all(&journal, &new_keys[..10], now_unix_ms() + NEVER_EXPIRES_MS).await;
        assert_eq!(read_shard(&store).await.entries.len(), 10);
        stop.end();
    });
}
