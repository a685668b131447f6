//! celerystair: a serving system for rarely used models.
//!
//! This crate re-exports the crates under `crates/`; its binary of the same name contains all
//! processes and tools of the system. Start with `README.md` and `docs/ARCHITECTURE.md`.

pub use celerystair_adapter as adapter;
pub use celerystair_admin as admin;
pub use celerystair_agent as agent;
pub use celerystair_config as config;
pub use celerystair_core as core;
pub use celerystair_engine as engine;
pub use celerystair_front as front;
pub use celerystair_journal as journal;
pub use celerystair_net as net;
pub use celerystair_news as news;
pub use celerystair_node as node;
pub use celerystair_placement as placement;
pub use celerystair_platform as platform;
pub use celerystair_policy as policy;
pub use celerystair_protocol as protocol;
pub use celerystair_router as router;
pub use celerystair_standin as standin;
pub use celerystair_telemetry as telemetry;
pub use celerystair_trial as trial;
