//! What operators see: logs, metrics and the time line of events.
//!
//! | module | holds |
//! |---|---|
//! | [`bounded`] | a bound on a log's volume |
//! | [`logs`] | a logger for terminals or JSON |
//! | [`metrics`] | counters and histograms, served for scraping |
//! | [`picture`] | a drawing of events by process and time |
//! | [`story`] | events of many files, merged and chosen |
//! | [`timeline`] | events of all processes, in hybrid logical time |

pub mod bounded;
pub mod logs;
pub mod metrics;
pub mod picture;
pub mod story;
pub mod timeline;

/// The types that a process needs.
pub mod prelude {
    pub use crate::{
        logs::logger,
        metrics::Metrics,
        timeline::{Event, Timeline},
    };
    pub use slog::{Logger, debug, error, info, warn};
}
