//! The agent beside a model engine on a platform: the only holder that orders its engine. It reads
//! the engine's report on its own instance, tells routers and other agents what is loaded, and
//! carries out what `celerystair_policy` decides for it. No request passes through it, so a killed
//! agent cuts nothing off.
//!
//! | module | holds |
//! |---|---|
//! | [`adapters`] | adapters of loaded models |
//! | [`agent`] | the agent's state, its start and its loop |
//! | [`client`] | calls to the engine |
//! | [`decide`] | what goes into the decision on the next load |
//! | [`dialect`] | how a platform's engines are asked and ordered |
//! | [`fence`] | the fencing number of the agent's orders |
//! | [`orders`] | orders to the engine |
//! | [`plan`] | a load under way, with the unloads that make room for it |
//! | [`settings`] | what an agent needs to start |
//! | [`tell`] | what the agent tells and hears |
//!
//! The design: `docs/PLATFORM.md`.

pub mod adapters;
pub mod agent;
pub mod client;
pub mod decide;
pub mod dialect;
pub mod fence;
pub mod orders;
pub mod plan;
pub mod settings;
pub mod tell;

/// The types that a binary needs.
pub mod prelude {
    pub use crate::{
        agent::{AgentError, EngineAgent, run_engine_agent},
        settings::EngineAgentSettings,
    };
}
