//! What the tests of requests share: a system whose roles fail one at a time.

#![allow(dead_code)]

use std::net::SocketAddr;

use celerystair::{
    config::prelude::*,
    core::prelude::*,
    platform::prelude::Store,
    trial::{caller::CallTarget, fleet::store_settings, prelude::*},
};

const SETTINGS: &str = include_str!("requests.jsonc");

/// Two engines, three services, two routers and one model.
pub fn requests_trial() -> TrialSettings {
    read_settings("tests/support/requests.jsonc", SETTINGS).expect("the settings can be used")
}

/// Starts the system, and a caller.
pub async fn start(settings: &TrialSettings) -> (FaultFleet, Caller) {
    let fleet = FaultFleet::start(settings).await;
    (
        fleet.expect("the fleet starts"),
        Caller::new().expect("a caller"),
    )
}

/// A client of the system's store.
pub fn store_of(fleet: &FaultFleet) -> Store {
    Store::new(store_settings(&fleet.platform_url)).expect("a client")
}

/// What a caller that is refused receives.
pub fn refused(reason: RefusalReason, run: RunState) -> Outcome {
    Outcome::Refused { reason, run }
}

/// A call that may not be repeated, with a long deadline.
pub fn post(router: SocketAddr, key: &str) -> Call {
    Call {
        router,
        organisation: "office".into(),
        kind: "payout".into(),
        target: CallTarget::Service {
            method: http::Method::POST,
            path: "/services/ledger/entries".to_owned(),
            key: key.to_owned(),
        },
        timeout_ms: 30_000,
    }
}
