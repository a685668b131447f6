//! Selection of the agents of a failure domain that watch the store.

use celerystair_core::prelude::*;
use celerystair_node::spread::watches_store;
use celerystair_platform::{objects::AGENT_KEY_PREFIX, prelude::*};

const AGENT_NAMES: [&str; 5] = ["u-1", "u-2", "u-3", "u-4", "u-5"];

fn mirror_with_agents(stop: &Stop) -> Mirror<AgentObject> {
    let settings = serde_json::json!({ "url": "http://127.0.0.1:9" });
    let settings = serde_json::from_value(settings).expect("settings are valid");
    let mirror = Mirror::start(
        &Store::new(settings).expect("the store's client is created"),
        AGENT_KEY_PREFIX,
        stop,
    );
    for (index, name) in AGENT_NAMES.iter().enumerate() {
        let value = serde_json::json!({
            "fence": 1, "instance": format!("{name}.1"), "claim_id": "c", "pool": "p",
            "address": "127.0.0.1:9", "failure_domain": "a", "memory_bytes": 1,
        });
        let key = format!("{AGENT_KEY_PREFIX}{name}");
        let object = Object::new(key, index as u64 + 1, &value).expect("an object");
        mirror
            .apply(&object)
            .expect("the agent's object is applied");
    }
    mirror
}

fn watcher_names(agents: &Mirror<AgentObject>, instances: &Instances) -> Vec<&'static str> {
    let watches = |name: &&&str| watches_store(agents, instances, "a", name);
    AGENT_NAMES.iter().filter(watches).copied().collect()
}

#[test]
fn other_agents_replace_watchers_whose_instances_are_gone() {
    compio::runtime::Runtime::new()
        .expect("the runtime starts")
        .block_on(async {
            let stop = Stop::new();
            let agents = mirror_with_agents(&stop);
            let instances = Instances::default();
            let all = AGENT_NAMES.map(|name| InstanceEntry {
                instance: format!("{name}.1").into(),
                state: InstanceState::Live,
            });
            instances.apply_list(&all);
            let initial_watchers = watcher_names(&agents, &instances);
            assert_eq!(initial_watchers.len(), 2, "{initial_watchers:?}");
            let remaining: Vec<InstanceEntry> = all
                .into_iter()
                .filter(|entry| {
                    !initial_watchers
                        .iter()
                        .any(|name| entry.instance.starts_with(name))
                })
                .collect();
            instances.apply_list(&remaining);
            let later_watchers = watcher_names(&agents, &instances);
            let new_watchers: Vec<_> = later_watchers
                .into_iter()
                .filter(|name| !initial_watchers.contains(name))
                .collect();
            assert_eq!(new_watchers.len(), 2, "{new_watchers:?}");
            stop.end();
        });
}
