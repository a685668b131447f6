//! Bearer tokens and their roles.

use celerystair_config::prelude::{AdminRole, AdminToken};
use subtle::ConstantTimeEq;

use crate::error::AdminError;

/// Who asks, and what they may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// The token's holder, who becomes the author of edits.
    pub name: String,
    /// What they may do.
    pub role: AdminRole,
}

/// The holder of the token in the request's headers.
///
/// Every token is compared in full, so that the time taken tells nothing of how much of one
/// was guessed.
///
/// # Errors
/// [`AdminError::Unauthorized`] if there is none.
pub fn authenticate(
    tokens: &[AdminToken],
    headers: &http::HeaderMap,
) -> Result<Caller, AdminError> {
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
    Ok(Caller {
        name: holder.name.clone(),
        role: holder.role,
    })
}

/// Refuses who may not edit.
pub fn require_edit(caller: &Caller) -> Result<(), AdminError> {
    if caller.role >= AdminRole::Edit {
        return Ok(());
    }
    Err(AdminError::Forbidden {
        name: caller.name.clone(),
    })
}
