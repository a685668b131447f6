//! Which processes of a failure domain watch the store.

use celerystair_core::prelude::*;
use celerystair_node::spread::watches_store;
use celerystair_platform::{objects::AGENT_KEY_PREFIX, prelude::*};

const NAMES: [&str; 5] = ["u-1", "u-2", "u-3", "u-4", "u-5"];

fn agents(stop: &Stop) -> Mirror<AgentObject> {
    let settings = serde_json::json!({ "url": "http://127.0.0.1:9" });
    let settings = serde_json::from_value(settings).expect("settings");
    let mirror = Mirror::start(
        &Store::new(settings).expect("a store"),
        AGENT_KEY_PREFIX,
        stop,
    );
    for (index, name) in NAMES.iter().enumerate() {
        let value = serde_json::json!({
            "fence": 1, "instance": format!("{name}.1"), "claim_id": "c", "pool": "p",
            "address": "127.0.0.1:9", "failure_domain": "a", "memory_bytes": 1,
        });
        let object = Object {
            key: format!("{AGENT_KEY_PREFIX}{name}"),
            version: index as u64 + 1,
            value,
        };
        mirror.apply(&object).expect("an agent");
    }
    mirror
}

fn watching(agents: &Mirror<AgentObject>, instances: &Instances) -> Vec<&'static str> {
    let watches = |name: &&&str| watches_store(agents, instances, "a", name);
    NAMES.iter().filter(watches).copied().collect()
}

#[test]
fn others_watch_in_place_of_instances_that_are_gone() {
    compio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(async {
            let stop = Stop::new();
            let agents = agents(&stop);
            let instances = Instances::default();
            let all = NAMES.map(|name| InstanceEntry {
                instance: format!("{name}.1").into(),
                state: InstanceState::Live,
            });
            instances.apply_list(&all);
            let first = watching(&agents, &instances);
            assert_eq!(first.len(), 2, "{first:?}");
            let left: Vec<InstanceEntry> = all
                .into_iter()
                .filter(|entry| !first.iter().any(|name| entry.instance.starts_with(name)))
                .collect();
            instances.apply_list(&left);
            let next = watching(&agents, &instances);
            let next: Vec<_> = next
                .into_iter()
                .filter(|name| !first.contains(name))
                .collect();
            assert_eq!(next.len(), 2, "{next:?}");
            stop.end();
        });
}
