//! Parts of prompts that requests share.

use celerystair_core::rendezvous::fingerprint as hash_bytes;

/// Identifies a part of prompts: a hash of the identifier that callers give it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptPartId(pub u64);

impl PromptPartId {
    /// Returns the identifier of the part that callers name `text`.
    pub fn new(text: &str) -> Self {
        Self(hash_bytes(text.as_bytes()))
    }
}
