//! What the tests share: a small system, and calls to it.

#![allow(dead_code)]

pub mod config;
pub mod processes;

use celerystair::{
    config::prelude::*,
    trial::{caller::CallTarget, prelude::*},
};

const SMALL: &str = include_str!("small.jsonc");

/// Runs a test on a runtime of its own.
pub fn block_on<T>(work: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(work)
}

/// Two engines, one service, two routers and two models.
pub fn small_trial() -> TrialSettings {
    read_settings("tests/support/small.jsonc", SMALL).expect("the settings can be used")
}

/// A call to the first router with a long deadline.
pub fn call_to(fleet: &Fleet, target: CallTarget) -> Call {
    Call {
        router: fleet.router_addresses[0],
        organisation: "office".into(),
        kind: "draft".into(),
        target,
        timeout_ms: 30_000,
    }
}
