//! The ledger of accelerator memory.
//!
//! Memory is reserved before an order is sent and released only when the engine confirms that it
//! is free; an order whose outcome is unknown keeps its reservation.

use celerystair_core::prelude::*;
use thiserror::Error;

/// Reservations of one upstream's accelerator memory, by model.
#[derive(Clone, Debug, Default)]
pub struct MemoryLedger {
    memory_bytes: u64,
    held: HashMap<ModelName, u64>,
}

/// Not enough accelerator memory is free.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{needed_bytes} bytes of accelerator memory are needed and {free_bytes} are free")]
pub struct NoMemory {
    /// Bytes that the replica needs.
    pub needed_bytes: u64,
    /// Bytes that are free.
    pub free_bytes: u64,
}

impl MemoryLedger {
    /// Creates a ledger of `memory_bytes` without reservations.
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            memory_bytes,
            held: HashMap::default(),
        }
    }

    /// Sets the total memory that the engine reports.
    pub fn set_memory_bytes(&mut self, memory_bytes: u64) {
        self.memory_bytes = memory_bytes;
    }

    /// Returns the memory reserved for the replica of `model`; 0 if there is none.
    pub fn held_bytes(&self, model: &ModelName) -> u64 {
        self.held.get(model).copied().unwrap_or_default()
    }

    /// Returns the memory that is not reserved.
    pub fn free_bytes(&self) -> u64 {
        self.memory_bytes.saturating_sub(self.held.values().sum())
    }

    /// Returns whether more is reserved than exists, as after an order that this ledger did not
    /// know of.
    pub fn is_overcommitted(&self) -> bool {
        self.held.values().sum::<u64>() > self.memory_bytes
    }

    /// Reserves memory for a replica of `model`; an existing reservation stays as it is.
    ///
    /// # Errors
    /// [`NoMemory`]; nothing was reserved.
    pub fn reserve(&mut self, model: &ModelName, needed_bytes: u64) -> Result<(), NoMemory> {
        if self.held.contains_key(model) {
            return Ok(());
        }
        let free_bytes = self.free_bytes();
        if needed_bytes > free_bytes {
            return Err(NoMemory {
                needed_bytes,
                free_bytes,
            });
        }
        self.held.insert(model.clone(), needed_bytes);
        Ok(())
    }

    /// Sets the memory that the engine reports for a replica, whether it fits or not.
    pub fn set_held(&mut self, model: &ModelName, held_bytes: u64) {
        self.held.insert(model.clone(), held_bytes);
    }

    /// Releases the reservation of `model`, after the engine's confirmation.
    pub fn release(&mut self, model: &ModelName) {
        self.held.remove(model);
    }
}
