//! What the tests of requests share: a system whose roles fail one at a time.

#![allow(dead_code)]

use std::net::SocketAddr;

use celerystair::{
    config::prelude::*,
    trial::{caller::CallTarget, prelude::*},
};

const SETTINGS: &str = include_str!("requests.jsonc");

/// Two engines, three services, two routers and one model.
pub fn requests_trial() -> TrialSettings {
    read_settings("tests/support/requests.jsonc", SETTINGS).expect("the settings can be used")
}

/// A call that may not be repeated, with a long deadline.
pub fn post(router: SocketAddr, key: &str) -> Call {
    Call {
        router,
        firm: "office".into(),
        kind: "payout".into(),
        target: CallTarget::Service {
            method: http::Method::POST,
            path: "/services/ledger/entries".to_owned(),
            key: key.to_owned(),
        },
        timeout_ms: 30_000,
    }
}
