//! Takes callers' requests and chooses the upstream that serves each.
//!
//! | module | holds |
//! |---|---|
//! | [`admission`] | which requests are taken on when there are too many |
//! | [`answer`] | refusals as problem documents, and other answers of the router itself |
//! | [`attempt`] | one try of a request at one upstream |
//! | [`caller_request`] | reading a caller's request |
//! | [`callers`] | the paths that callers use |
//! | [`lost`] | instances that were lost with requests running |
//! | [`peers`] | agents: connections, and what was last heard of them |
//! | [`retry_budget`] | a bound on retries |
//! | [`router`] | the router's state, its start and its planned stop |
//! | [`select`] | which upstream gets the next attempt |
//! | [`serve`] | the life of one request over all its attempts |

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod caller_request;
pub mod callers;
pub mod lost;
pub mod peers;
pub mod retry_budget;
pub mod router;
pub mod select;
pub mod serve;

/// The types that a binary or a trial needs.
pub mod prelude {
    pub use crate::router::{Router, RunningRouter, run_router};
}
