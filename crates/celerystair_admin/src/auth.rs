//! Authentication by bearer token, and authorization by role.

use celerystair_config::prelude::{AdminRole, AdminToken};
use subtle::ConstantTimeEq;

use crate::error::AdminError;

/// An authenticated operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// The name of the token's holder, recorded as the author of changes.
    pub name: String,
    /// The role of the token's holder.
    pub role: AdminRole,
}

/// Returns the holder of the bearer token in the request's headers.
///
/// Compares every token in constant time, so that the duration does not reveal how much of a token
/// was guessed.
///
/// # Errors
/// [`AdminError::Unauthorized`] if the token is missing or unknown.
pub fn authenticate(
    tokens: &[AdminToken],
    headers: &http::HeaderMap,
) -> Result<Operator, AdminError> {
    let given = headers
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(AdminError::Unauthorized)?;
    let mut holder = None;
    for token in tokens {
        if bool::from(token.token.as_bytes().ct_eq(given.as_bytes())) {
            holder = Some(token);
        }
    }
    let holder = holder.ok_or(AdminError::Unauthorized)?;
    Ok(Operator {
        name: holder.name.clone(),
        role: holder.role,
    })
}

/// Requires a role that permits edits.
///
/// # Errors
/// [`AdminError::Forbidden`] if the operator may only read.
pub fn require_edit(operator: &Operator) -> Result<(), AdminError> {
    if operator.role >= AdminRole::Edit {
        return Ok(());
    }
    Err(AdminError::Forbidden {
        name: operator.name.clone(),
    })
}
