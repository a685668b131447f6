//! Errors of calls to the object API.

use thiserror::Error;

/// Why a call to the object API did not succeed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// A conditional write found another version than the expected one; nothing was written.
    #[error("version conflict on {key}: the current version is {current_version}")]
    Conflict {
        /// The object's key.
        key: String,
        /// The object's current version; 0 if it does not exist or the version is not known.
        current_version: u64,
    },
    /// The call had no effect: it was not sent, or the platform rejected it.
    #[error("the call to the platform failed: {detail}")]
    Failed {
        /// Why the call was not sent, or the status and body of the rejection.
        detail: String,
    },
    /// No valid response came back; a write may have taken effect.
    #[error("the outcome of the call to the platform is unknown: {detail}")]
    OutcomeUnknown {
        /// What went wrong after the call was sent.
        detail: String,
    },
    /// The stored value can't be parsed as the expected type.
    #[error("can't parse {key}: {detail}")]
    BadObject {
        /// The object's key.
        key: String,
        /// The parser's error.
        detail: String,
    },
}
