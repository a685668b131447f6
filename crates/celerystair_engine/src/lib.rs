//! The agent beside a model engine, the only process that orders the engine's loads and unloads. It
//! runs on the engine's instance, polls the engine's report, gossips the engine's status to routers
//! and other agents, and carries out the load decisions of `celerystair_policy`. Requests don't
//! pass through the agent, so none is interrupted when it is killed.
//!
//! | module | holds |
//! |---|---|
//! | [`adapters`] | loading and unloading of adapters |
//! | [`agent`] | the agent's state, start-up and main loop |
//! | [`client`] | the HTTP client of the engine |
//! | [`decide`] | the fleet state that the next load is decided from |
//! | [`dialect`] | the HTTP interface of a platform's engines |
//! | [`fence`] | the fencing token of the agent's orders |
//! | [`orders`] | sending orders, and advancing a load step by step |
//! | [`origins`] | where streams began, for routers that are asked to take them up |
//! | [`plan`] | a load in progress, with the unloads that free memory for it |
//! | [`settings`] | the settings of an agent |
//! | [`suspicion`] | spreading reports on requests that crash upstreams |
//! | [`tell`] | sending, receiving and relaying gossip |
//!
//! The design: `docs/PLATFORM.md`.

pub mod adapters;
pub mod agent;
pub mod client;
pub mod decide;
pub mod dialect;
pub mod fence;
pub mod orders;
pub mod origins;
pub mod plan;
pub mod settings;
pub mod suspicion;
pub mod tell;

/// The types that a binary needs to run an agent.
pub mod prelude {
    pub use crate::{
        agent::{AgentError, EngineAgent, run_engine_agent},
        settings::EngineAgentSettings,
    };
}
