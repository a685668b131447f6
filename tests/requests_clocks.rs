//! Clocks of routers and agents that differ.

#[path = "support/rig.rs"]
mod rig;

use celerystair::core::prelude::*;
use rig::{Rig, agent_settings, small_engine, submit_by_clock, wait_until};

const HOUR_MS: u64 = 3_600_000;

#[test]
fn a_router_whose_clock_is_an_hour_off_is_served() {
    compio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(async {
            let rig = Rig::start();
            rig.announce("e-a.1", "live").await;
            rig.put_model("m-1").await;
            rig.place("m-1", &["e-a"]).await;
            rig.configure(celerystair::config::prelude::FleetDocument {
                revision: 1,
                ..Default::default()
            })
            .await;
            let engine = rig.engine(small_engine());
            let running = rig
                .agent(agent_settings(&rig, "e-a", &engine), &rig.stop)
                .await;
            let node = &running.agent.node;
            wait_until("the agent knows its slot", async || {
                running.agent.claim.is_active()
                    && node.placements.get("m-1").is_some()
                    && node.models.get("m-1").is_some()
                    && node.config.is_known()
            })
            .await;
            let life = &running.agent.incarnation;
            for sent_unix_ms in [now_unix_ms() - HOUR_MS, now_unix_ms() + HOUR_MS] {
                let served = submit_by_clock(running.address, life, "m-1", sent_unix_ms).await;
                assert_eq!(served, Ok(()));
            }
        });
}
