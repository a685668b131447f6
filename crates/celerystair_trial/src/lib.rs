//! The whole system in one process, over real sockets on loopback, for trials, loads and tests.
//!
//! | module | holds |
//! |---|---|
//! | [`caller`] | a caller that knows what its own answer must look like |
//! | [`checks`] | what must always hold, checked against what the stand-ins saw |
//! | [`domains`] | losing a whole failure domain at once, and having it back |
//! | [`faults`] | a fleet whose agents and routers are killed, paused and restarted one at a time |
//! | [`fleet`] | starting and stopping all roles and stand-ins |
//! | [`fuzz`] | random requests and faults, and the oracle |
//! | [`fuzz_plan`] | the steps of a fuzzed trial |
//! | [`load`] | open-loop loads, with reports and plots |
//! | [`network`] | the network between failure domains, which can be cut |
//! | [`overload`] | load at a multiple of the capacity, and its goodput |
//! | [`settings`] | settings of a trial |
//! | [`stalls`] | how long the callers' own thread was kept from running |
//! | [`steady`] | calls at all routers for as long as a test lasts |
//! | [`tally`] | what callers received |
//! | [`threads`] | roles on threads with a runtime each |
//! | [`usage`] | processor time of threads |
//! | [`workload`] | the calls of `celerystair try` |

pub mod caller;
pub mod checks;
pub mod domains;
pub mod faults;
pub mod fleet;
pub mod fuzz;
pub mod fuzz_plan;
pub mod load;
pub mod network;
pub mod overload;
pub mod settings;
pub mod stalls;
pub mod steady;
pub mod tally;
pub mod threads;
pub mod usage;
pub mod workload;

/// The types that a trial or a test needs.
pub mod prelude {
    pub use crate::{
        caller::{Call, Caller, Outcome},
        checks::{Violation, check},
        faults::FaultFleet,
        fleet::{Fleet, FleetError},
        network::{CutKind, Network},
        settings::{PoolKind, TrialSettings},
        steady::{CompletedCall, SteadyLoad, check_completed_calls},
        tally::Tally,
        threads::RoleThread,
        workload::run_workload,
    };
}
