//! Observability: logs, metrics and the timeline of events.
//!
//! | module | contents |
//! |---|---|
//! | [`bounded`] | rate limiting of log lines |
//! | [`logs`] | loggers for terminals and JSON |
//! | [`metrics`] | counters, gauges and histograms in the Prometheus text format |
//! | [`picture`] | a chart of events by process and time |
//! | [`story`] | events merged from several files, and filters on them |
//! | [`timeline`] | the recording of events, in hybrid logical time |

pub mod bounded;
pub mod logs;
pub mod metrics;
pub mod picture;
pub mod story;
pub mod timeline;

/// Commonly used types and macros.
pub mod prelude {
    pub use crate::{
        logs::logger,
        metrics::Metrics,
        timeline::{Event, Timeline},
    };
    pub use slog::{Logger, debug, error, info, warn};
}
