//! Accepts callers' requests and routes each to an upstream.
//!
//! | module | contents |
//! |---|---|
//! | [`admission`] | admission control and load shedding |
//! | [`answer`] | responses that the router writes itself, such as refusals |
//! | [`attempt`] | one attempt of a request at one upstream |
//! | [`caller_request`] | parsing and validation of callers' requests |
//! | [`callers`] | the HTTP endpoints for callers |
//! | [`lost`] | crash records for instances that were lost with requests in flight |
//! | [`peers`] | connections to agents, and the last known state of each |
//! | [`retry_budget`] | the retry budget |
//! | [`router`] | the router's state, its startup and its graceful shutdown |
//! | [`select`] | upstream selection for the next attempt |
//! | [`serve`] | one request over all its attempts: retries, deadlines, response body |

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

/// The types needed to start a router.
pub mod prelude {
    pub use crate::router::{Router, RunningRouter, run_router};
}
