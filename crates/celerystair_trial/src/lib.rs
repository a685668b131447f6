//! Runs a whole fleet in one process, over real sockets on loopback, for trials, load generation
//! and tests. A *trial* is one run of such a fleet with given settings.
//!
//! | module | contents |
//! |---|---|
//! | [`caller`] | a caller that checks that each response belongs to its own request |
//! | [`checks`] | invariants, checked against what the stand-ins observed |
//! | [`domains`] | failure and recovery of a whole failure domain |
//! | [`faults`] | a fleet whose agents and routers can be killed, paused and restarted one at a time |
//! | [`fleet`] | start and stop of all routers, agents and stand-ins |
//! | [`fuzz`] | a run of random requests and faults, and the oracle that checks it |
//! | [`fuzz_plan`] | generation of the steps of a fuzzed trial |
//! | [`load`] | open-loop load generation, with reports and plots |
//! | [`network`] | simulated partitions between failure domains |
//! | [`overload`] | load beyond the capacity of the upstreams, and its goodput |
//! | [`settings`] | settings of a trial |
//! | [`stalls`] | detection of stalls of the callers' own thread |
//! | [`steady`] | a steady load on all routers for as long as a test lasts |
//! | [`tally`] | counts of what callers received |
//! | [`threads`] | routers, agents and stand-ins on threads with a runtime each |
//! | [`usage`] | CPU time of threads |
//! | [`workload`] | the load of `celerystair try` |

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

/// The types that trials and tests use.
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
