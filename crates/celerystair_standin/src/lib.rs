//! Small stand-ins for the systems around celerystair: the platform, model engines, the weight
//! store and plain services. Each can inject faults by its settings, and holds its state in memory
//! only.
//!
//! | module | contents |
//! |---|---|
//! | [`engine`] | a model engine with accelerator memory, loads, batches and streams |
//! | [`platform`] | the platform: its key-value store and its instance list, which lags |
//! | [`service`] | a plain service that counts executions by key |
//! | [`weights`] | the weight store, with a limited rate of fetches |
//! | [`witness`] | a record of what the stand-ins did, for checks |

pub mod engine;
pub mod platform;
pub mod service;
pub mod weights;
pub mod witness;

/// The types that trials and tests use.
pub mod prelude {
    pub use crate::{
        engine::{EngineSettings, run_engine},
        platform::{PlatformFaults, PlatformSettings, run_platform},
        service::{ServiceSettings, run_service},
        weights::{WeightsSettings, run_weights},
        witness::Witness,
    };
}
