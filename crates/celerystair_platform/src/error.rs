//! What a call to the object API can come to.

use thiserror::Error;

/// Why a call to the object API did not succeed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The object is not at the expected version; nothing was written.
    #[error("{key} is at version {current_version}, not at the expected one")]
    Conflict {
        /// The object.
        key: String,
        /// Its version now; 0 if it does not exist.
        current_version: u64,
    },
    /// The platform refused the call; nothing was written.
    #[error("the platform refused the call: {detail}")]
    Failed {
        /// Its reason.
        detail: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[error("the platform's answer was lost: {detail}")]
    OutcomeUnknown {
        /// What happened to the call.
        detail: String,
    },
    /// The object is not what this version of the system writes.
    #[error("{key} can't be read: {detail}")]
    BadObject {
        /// The object.
        key: String,
        /// The parser's reason.
        detail: String,
    },
}
