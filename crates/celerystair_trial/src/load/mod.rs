//! Open-loop load generation: each call is made when it is due, whether or not earlier calls have
//! ended, and its latencies count from when it was due.
//!
//! | module | contents |
//! |---|---|
//! | [`plan`] | the schedule of calls |
//! | [`plot`] | a plot of the latencies |
//! | [`report`] | the report of what callers received, by kind |
//! | [`run`] | running a load against a fleet |
//! | [`settings`] | settings of a load |

pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
pub mod settings;
