//! The agent process beside one upstream: its memory ledger, loads, queue and attempts.
//!
//! | module | holds |
//! |---|---|
//! | [`adapters`] | adapters of a loaded replica |
//! | [`agent`] | the agent's state, its start and its planned stop |
//! | [`answer`] | one attempt, from submission to the last chunk of the response |
//! | [`attempts`] | the state of each attempt, and tombstones |
//! | [`claim`] | the agent's claim on its upstream, and fencing tokens |
//! | [`crashes`] | crashes of the engine, and the requests that it was running |
//! | [`engine`] | HTTP client for orders to a model engine |
//! | [`fetch_speed`] | adaptive limit on concurrent fetches |
//! | [`grpc`] | the gRPC service that routers and other agents call |
//! | [`idle`] | unloading idle replicas, and keeping others warm |
//! | [`keyed`] | calls under an idempotency key: one run for all requests with the key |
//! | [`keyed_run`] | running such a call and writing its outcome to the journal |
//! | [`ledger`] | accelerator memory: reserved before an order, released on confirmation |
//! | [`load`] | loads of replicas |
//! | [`news`] | load and replica states, piggybacked on replies |
//! | [`permits`] | permits to fetch from the weight store |
//! | [`queue`] | the admission queue in front of the upstream |
//! | [`reconcile`] | aligning the agent's state with the engine's reports |
//! | [`replicas`] | replicas: one load shared by all waiting requests |
//! | [`scrape`] | the metrics endpoint |
//! | [`slots`] | the placement slots that this instance holds, and their release |
//! | [`unload`] | unloads of replicas |
//! | [`upstream`] | HTTP calls forwarded to the upstream |

pub mod adapters;
pub mod agent;
pub mod answer;
pub mod attempts;
pub mod claim;
pub mod crashes;
pub mod engine;
pub mod fetch_speed;
pub mod grpc;
pub mod idle;
pub mod keyed;
pub mod keyed_run;
pub mod ledger;
pub mod load;
pub mod news;
pub mod permits;
pub mod queue;
pub mod reconcile;
pub mod replicas;
pub mod scrape;
pub mod slots;
pub mod unload;
pub mod upstream;

/// What a binary or a test needs to run an agent.
pub mod prelude {
    pub use crate::agent::{Agent, RunningAgent, run_agent};
}
