//! The process beside one upstream: its memory ledger, loads, queue and attempts.
//!
//! | module | holds |
//! |---|---|
//! | [`adapters`] | adapters of a loaded replica |
//! | [`agent`] | the agent's state, its start and its planned stop |
//! | [`answer`] | the life of one attempt, from submission to the last chunk |
//! | [`attempts`] | what became of each attempt, and tombstones |
//! | [`claim`] | the agent's claim on its upstream, and fencing numbers |
//! | [`crashes`] | crashes of the upstream, and the requests that were running then |
//! | [`engine`] | orders to a model engine |
//! | [`fetch_speed`] | local adaptive concurrency of fetches |
//! | [`grpc`] | the service that routers call |
//! | [`idle`] | unloading replicas that nobody calls |
//! | [`keyed`] | calls that may not be repeated: one run for all who send one key |
//! | [`keyed_run`] | the run of such a call, and its outcome |
//! | [`ledger`] | accelerator memory: reserved before an order, freed on confirmation |
//! | [`load`] | loads of replicas |
//! | [`news`] | what rides on replies |
//! | [`permits`] | permits to fetch from the weight store |
//! | [`queue`] | requests that wait for their turn |
//! | [`reconcile`] | taking over what the engine reports |
//! | [`replicas`] | replicas: one load for many waiters |
//! | [`scrape`] | metrics, served for scraping |
//! | [`slots`] | the slots that this instance holds, and giving them back |
//! | [`unload`] | unloads of replicas |
//! | [`upstream`] | calls passed on to the upstream |

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

/// The types that a binary or a trial needs.
pub mod prelude {
    pub use crate::agent::{Agent, RunningAgent, run_agent};
}
