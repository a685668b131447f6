//! What reads something.

pub mod document;
pub mod placements;
pub mod status;
pub mod suspects;
