//! Decisions about requests and replicas, as plain functions over plain data: time is passed in,
//! and nothing here opens a socket, reads a clock or calls the store. Each module names the load
//! that it answers; its test under `tests/` replays that load.
//!
//! | module | decides |
//! |---|---|
//! | [`adapters`] | which adapter an engine loads next, and which makes room for it |
//! | [`budget`] | whether one more attempt fits the fleet's share of retries |
//! | [`census`] | how many routers share what is meant for all |
//! | [`choose`] | which upstream gets an attempt |
//! | [`cold_loads`] | how many loads from the weight store run at once |
//! | [`demand`] | how much each model is asked for |
//! | [`departures`] | when an upstream counts as gone |
//! | [`fleet`] | nothing: the configuration and the upstreams that decisions are about |
//! | [`health`] | which upstreams are left out for a while |
//! | [`outcome`] | what an attempt that failed allows next |
//! | [`replicas`] | which model an engine loads next, and what makes room for it |
//! | [`routes`] | which route a request takes |
//! | [`spread`] | who is told news directly, and who tells it on |
//! | [`stall`] | whether a silent stream goes on at another upstream |
//! | [`suspects`] | which requests are refused because they crash upstreams |
//! | [`waiting`] | whether a request waits for a replica, and what a refusal says |
//!
//! Why they are apart, and how they fit together: `docs/PLATFORM.md`.

pub mod adapters;
pub mod budget;
pub mod census;
pub mod choose;
pub mod cold_loads;
pub mod demand;
pub mod departures;
pub mod fleet;
pub mod health;
pub mod outcome;
pub mod replicas;
pub mod routes;
pub mod spread;
pub mod stall;
pub mod suspects;
pub mod waiting;

/// The types that a process needs.
pub mod prelude {
    pub use crate::{
        budget::{EarlierAttempts, RetryAllowance, RetryBound, RetryBudget},
        census::RouterCountEstimate,
        choose::{Candidate, choose_upstream, has_capacity},
        cold_loads::{ColdLoadObservations, ColdLoadRun},
        demand::DemandMeter,
        departures::{MissingUpstreams, replaced_entries},
        fleet::{
            CallerLimits, EngineConfig, EngineState, LoadedModel, ModelConfig, RequestKind, Route,
            RouteTarget, ServiceConfig, ServingConfig, UpstreamEntry, UpstreamState,
        },
        health::UpstreamHealth,
        outcome::{AttemptFailure, NextStep, next_step},
        replicas::{EngineView, ModelView, Order, next_order},
        routes::{RouteTable, choose_service},
        spread::{GossipTarget, Peer, gossip_targets, relay_targets},
        stall::StallInputs,
        suspects::{Suspects, UpstreamIncarnation},
        waiting::{KnownCopies, WaitDecision, WaitInputs, decide_wait, shortest_load_ms},
    };
}
