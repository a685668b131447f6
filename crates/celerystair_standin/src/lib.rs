//! Small stand-ins for what celerystair meets: the platform, model engines, the weight store
//! and plain services. Each has settings for its faults; none keeps anything.
//!
//! | module | plays |
//! |---|---|
//! | [`engine`] | a model engine with accelerator memory, loads, batches and streams |
//! | [`platform`] | the object API and the lagging list of instances |
//! | [`service`] | a plain service that counts executions by key |
//! | [`weights`] | the weight store with its limited rate |
//! | [`witness`] | what truly happened, for checks |

pub mod engine;
pub mod platform;
pub mod service;
pub mod weights;
pub mod witness;

/// The types that a trial or a test needs.
pub mod prelude {
    pub use crate::{
        engine::{EngineSettings, run_engine},
        platform::{PlatformFaults, PlatformSettings, run_platform},
        service::{ServiceSettings, run_service},
        weights::{WeightsSettings, run_weights},
        witness::Witness,
    };
}
