//! The router that runs on a platform: it accepts callers' requests and forwards each straight to
//! the upstream that serves it. Its decisions are made by `celerystair_policy`; the platform's
//! names for headers, store keys and settings are in the platform's adapter.
//!
//! | module | holds |
//! |---|---|
//! | [`answer_end`] | whether an answer that has ended is whole |
//! | [`answers`] | HTTP responses for refusals |
//! | [`attempt`] | one attempt to send a request to one upstream |
//! | [`bodies`] | reading callers' bodies while there is room for them |
//! | [`callers`] | reading callers' requests and answering them |
//! | [`connections`] | the pool of connections to an upstream |
//! | [`demand`] | gossip with agents: demand sent, engine status received |
//! | [`dialect`] | reading and writing a platform's headers |
//! | [`elsewhere`] | whether a request to a silent upstream moves to another one |
//! | [`events`] | splitting a stream into whole events |
//! | [`framing`] | how an upstream's response is framed, and what its body consists of |
//! | [`front`] | the router's state, start-up and graceful shutdown |
//! | [`log`] | a log line for each decision about a request |
//! | [`origins`] | where streams began that callers take up again |
//! | [`pick`] | picking the upstream for a request |
//! | [`probes`] | the readiness and metrics endpoints |
//! | [`request`] | one request over all its attempts |
//! | [`retries`] | the retry budgets, with their logs and metrics |
//! | [`runs`] | how runs at upstreams ended, and whether their upstream may have crashed |
//! | [`settings`] | the settings of a router |
//! | [`standstill`] | waits for upstreams that a standstill of this process doesn't end |
//! | [`stops`] | what a planned stop does with requests, for logs and metrics |
//! | [`stream`] | relaying a stream to its caller |
//! | [`suspicion`] | exchanging reports on requests that crash upstreams |
//! | [`upstream`] | this router's state about one upstream |
//! | [`view`] | the active configuration and the known upstreams |
//! | [`waiting`] | requests that wait for a replica |
//!
//! The design: `docs/PLATFORM.md`.

pub mod answer_end;
pub mod answers;
pub mod attempt;
pub mod bodies;
pub mod callers;
pub mod connections;
pub mod demand;
pub mod dialect;
pub mod elsewhere;
pub mod events;
pub mod framing;
pub mod front;
pub mod log;
pub mod origins;
pub mod pick;
pub mod probes;
pub mod request;
pub mod retries;
pub mod runs;
pub mod settings;
pub mod standstill;
pub mod stops;
pub mod stream;
pub mod suspicion;
pub mod upstream;
pub mod view;
pub mod waiting;

/// The types and functions that a binary needs.
pub mod prelude {
    pub use crate::{
        front::{PlatformRouter, PlatformRouterError, RunningPlatformRouter, run_platform_router},
        settings::PlatformRouterSettings,
    };
}
