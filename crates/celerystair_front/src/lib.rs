//! A router on a platform: it takes callers' requests and sends each straight to the upstream
//! that serves it. What it decides is in `celerystair_policy`; what the platform calls things, in
//! its adapter.
//!
//! | module | holds |
//! |---|---|
//! | [`answers`] | refusals as callers receive them |
//! | [`attempt`] | one try of a request at one upstream |
//! | [`callers`] | a caller's request: reading it, and its way to an answer |
//! | [`connections`] | connections to upstreams |
//! | [`demand`] | what this router tells agents of its demand |
//! | [`dialect`] | how a platform's headers are read and written |
//! | [`elsewhere`] | whether a request that hears nothing goes on at another upstream |
//! | [`events`] | the events of a stream |
//! | [`front`] | the router's state, its start and its planned stop |
//! | [`log`] | a line for each decision that touches a request |
//! | [`pick`] | which upstream a request can go to now |
//! | [`probes`] | what the platform asks: readiness, metrics |
//! | [`request`] | the life of one request over all its attempts |
//! | [`retries`] | the retry budgets, and what operators are told of them |
//! | [`settings`] | what a router needs to start |
//! | [`stream`] | a stream on its way to its caller |
//! | [`upstream`] | an upstream as this router sees it |
//! | [`view`] | the configuration and the upstreams in force |
//! | [`waiting`] | requests that wait for a replica |
//!
//! The design: `docs/PLATFORM.md`.

pub mod answers;
pub mod attempt;
pub mod callers;
pub mod connections;
pub mod demand;
pub mod dialect;
pub mod elsewhere;
pub mod events;
pub mod front;
pub mod log;
pub mod pick;
pub mod probes;
pub mod request;
pub mod retries;
pub mod settings;
pub mod stream;
pub mod upstream;
pub mod view;
pub mod waiting;

/// The types that a binary needs.
pub mod prelude {
    pub use crate::{
        front::{PlatformRouter, PlatformRouterError, RunningPlatformRouter, run_platform_router},
        settings::PlatformRouterSettings,
    };
}
