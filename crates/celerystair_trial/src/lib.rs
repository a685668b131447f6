//! The whole system in one process, over real sockets on loopback, for trials, loads and tests.
//!
//! | module | holds |
//! |---|---|
//! | [`caller`] | a caller that knows what its own answer must look like |
//! | [`checks`] | what must always hold, checked against what the stand-ins saw |
//! | [`fleet`] | starting and stopping all roles and stand-ins |
//! | [`load`] | open-loop loads, with reports and plots |
//! | [`settings`] | settings of a trial |
//! | [`tally`] | what callers received |
//! | [`threads`] | roles on threads with a runtime each |
//! | [`workload`] | the calls of `celerystair try` |

pub mod caller;
pub mod checks;
pub mod fleet;
pub mod load;
pub mod settings;
pub mod tally;
pub mod threads;
pub mod workload;

/// The types that a trial or a test needs.
pub mod prelude {
    pub use crate::{
        caller::{Call, Caller, Outcome},
        checks::{Violation, check},
        fleet::{Fleet, FleetError},
        settings::{PoolKind, TrialSettings},
        tally::Tally,
        threads::RoleThread,
        workload::run_workload,
    };
}
