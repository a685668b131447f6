//! Loads with open-loop arrivals: a call is made when it is due, whatever became of earlier
//! ones, and its times count from when it was due.
//!
//! | module | holds |
//! |---|---|
//! | [`plan`] | when which call is due |
//! | [`plot`] | a drawing of the times |
//! | [`report`] | what callers received, by kind |
//! | [`run`] | starting a system, making the calls, counting |
//! | [`settings`] | settings of a load |

pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
pub mod settings;
