//! Errors of the administration API and their HTTP responses.

use celerystair_config::{change::EditError, commands::write_changes::WriteError};
use celerystair_net::{
    json::{ReadBodyError, json_response},
    prelude::HttpResponse,
};
use celerystair_platform::prelude::StoreError;
use serde_json::{Value, json};
use thiserror::Error;

/// Why an operator's request failed.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The request's body is too large, incomplete or not the expected JSON.
    #[error(transparent)]
    BadBody(#[from] ReadBodyError),
    /// The requested path or object does not exist.
    #[error("there is no {what}")]
    NotFound {
        /// What was requested.
        what: String,
    },
    /// The token's role does not allow it.
    #[error("the token of {name} permits reading only")]
    Forbidden {
        /// The token's holder.
        name: String,
    },
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The request has no bearer token, or an unknown one.
    #[error("a valid bearer token for the administration API is required")]
    Unauthorized,
    /// The change was not accepted, or its outcome is unknown.
    #[error(transparent)]
    Write(#[from] WriteError),
}

impl AdminError {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadBody(_) => 400,
            Self::Unauthorized => 401,
            Self::Forbidden { .. } => 403,
            Self::NotFound { .. } => 404,
            Self::Write(WriteError::Refused(refused)) => match refused {
                EditError::BadFields { .. } => 422,
                EditError::TooLarge { .. } => 413,
                _ => 409,
            },
            Self::Write(WriteError::QueueFull) => 429,
            Self::Store(StoreError::Conflict { .. }) => 409,
            Self::Write(WriteError::NotWritten) | Self::Store(StoreError::Failed { .. }) => 503,
            Self::Write(WriteError::Unknown) | Self::Store(_) => 504,
        }
    }

    /// Returns the HTTP response. Its body has `detail` for people, `refused` with the refusal's
    /// fields for programs, and `may_be_in_force`, which is true if the outcome is unknown.
    pub fn response(&self) -> HttpResponse {
        let refused = match self {
            Self::Write(WriteError::Refused(refused)) => {
                serde_json::to_value(refused).unwrap_or_default()
            }
            _ => Value::Null,
        };
        let body = json!({
            "detail": self.to_string(),
            "refused": refused,
            "may_be_in_force": matches!(
                self,
                Self::Write(WriteError::Unknown) | Self::Store(StoreError::OutcomeUnknown { .. })
            ),
        });
        let mut response = json_response(self.status(), &body);
        if matches!(self, Self::Unauthorized) {
            response.headers_mut().insert(
                http::header::WWW_AUTHENTICATE,
                http::HeaderValue::from_static("Bearer"),
            );
        }
        response
    }
}
