//! Why a request of an operator is refused.

use celerystair_config::{change::EditError, commands::write_changes::WriteError};
use celerystair_net::{
    json::{ReadBodyError, json_response},
    prelude::HttpResponse,
};
use celerystair_platform::prelude::StoreError;
use serde_json::{Value, json};
use thiserror::Error;

/// Why a request of an operator is refused.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The body can't be read.
    #[error(transparent)]
    BadBody(#[from] ReadBodyError),
    /// The path names something that does not exist.
    #[error("there is no {what}")]
    NotFound {
        /// What was asked for.
        what: String,
    },
    /// The token's role does not allow it.
    #[error("{name} may read, but not edit")]
    Forbidden {
        /// The token's holder.
        name: String,
    },
    /// The store could not be asked.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// No token, or an unknown one.
    #[error("a bearer token of the administration API is needed")]
    Unauthorized,
    /// The change was refused, or its outcome is not known.
    #[error(transparent)]
    Write(#[from] WriteError),
}

impl AdminError {
    /// The HTTP status that goes with it.
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

    /// The answer: `detail` for people, `refused` with the fields for programs, and
    /// `may_be_in_force` if the outcome is not known.
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
