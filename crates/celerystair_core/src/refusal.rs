//! Typed refusals: the reason and whether an upstream may have executed the request.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a refused request may have been executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No upstream has started the request, and none will.
    NotRun,
    /// An upstream may have executed the request, wholly or in part.
    Unknown,
}

impl RunState {
    /// Returns the name under which the state is sent to callers and between processes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the name written by [`RunState::as_str`]. Any other name, as a newer version may
    /// send, is [`RunState::Unknown`], which makes no promise about execution.
    pub fn from_wire_name(name: &str) -> Self {
        if name == "not_run" {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident => $name:literal, $status:literal;)*) => {
        /// The reason for a refusal. `docs/OPERATIONS.md` describes each one for operators.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalReason {
            $($(#[$doc])* $variant,)*
        }

        impl RefusalReason {
            /// All reasons, for documentation and metrics.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// Returns the name under which the reason is sent to callers and between processes.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// Returns the HTTP status of a response with this reason.
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)*
                }
            }

            /// Parses the name written by [`RefusalReason::as_str`]; an unknown name is
            /// [`RefusalReason::Internal`].
            pub fn from_wire_name(name: &str) -> Self {
                match name {
                    $($name => Self::$variant,)*
                    _ => Self::Internal,
                }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    BadRequest => "bad_request", 400;
    /// The body exceeds the configured size limit.
    BodyTooLarge => "body_too_large", 413;
    /// The idempotency key was used before with a different request.
    KeyReused => "key_reused", 422;
    /// A non-idempotent request has no idempotency key.
    KeyRequired => "key_required", 400;
    /// No model of that name is configured.
    UnknownModel => "unknown_model", 404;
    /// No service of that name is configured.
    UnknownService => "unknown_service", 404;
    /// The path does not exist.
    NotFound => "not_found", 404;
    /// The deadline had passed before the request arrived.
    DeadlinePast => "deadline_past", 504;
    /// The deadline passed while the request waited.
    DeadlineExceeded => "deadline_exceeded", 504;
    /// The expected wait exceeds the time that remains until the deadline.
    WaitTooLong => "wait_too_long", 503;
    /// A queue is full.
    Overloaded => "overloaded", 503;
    /// The organisation exceeds its request limit.
    OrganisationLimit => "organisation_limit", 429;
    /// No upstream can serve the request now.
    NoUpstream => "no_upstream", 503;
    /// No upstream of the software version that began the stream is ready.
    SoftwareVersionGone => "software_version_gone", 503;
    /// It is not known which software version began the stream that the caller takes up.
    StreamOriginUnknown => "stream_origin_unknown", 503;
    /// The store doesn't tell in time which software versions the upstreams run now.
    SoftwareVersionUnproven => "software_version_unproven", 503;
    /// The agent holds no slot for the model.
    NotHere => "not_here", 503;
    /// The upstream or router is draining.
    Leaving => "leaving", 503;
    /// The accelerator has too little free memory for the model.
    NoMemory => "no_memory", 503;
    /// Loading the model failed.
    LoadFailed => "load_failed", 503;
    /// The upstream ended the response early.
    UpstreamFailed => "upstream_failed", 502;
    /// The connection to the agent was lost.
    ConnectionLost => "connection_lost", 502;
    /// The request is suspected of crashing upstreams.
    Suspect => "suspect", 422;
    /// The request needs the platform's store, which is unreachable.
    StoreUnavailable => "store_unavailable", 503;
    /// The journal of idempotency keys is full until some of them expire.
    JournalFull => "journal_full", 503;
    /// The outcome of an earlier attempt with the same idempotency key is unknown.
    OutcomeUnknown => "outcome_unknown", 409;
    /// The attempt was cancelled before it started.
    Cancelled => "cancelled", 499;
    /// An internal error.
    Internal => "internal", 500;
}

/// A refused request, as reported to the caller.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{} ({}): {detail}", reason.as_str(), run.as_str())]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether the request may have been executed.
    pub run: RunState,
    /// Milliseconds from now after which a retry may succeed; 0 if a retry won't help.
    pub retry_after_ms: u64,
    /// A human-readable explanation.
    pub detail: String,
}

impl Refusal {
    /// Refuses a request that no upstream has started or will start.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            run: RunState::NotRun,
            retry_after_ms: 0,
            detail: detail.into(),
        }
    }

    /// Refuses a request that an upstream may have executed.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            run: RunState::Unknown,
            retry_after_ms: 0,
            detail: detail.into(),
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }
}
