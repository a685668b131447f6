//! The ledger of accelerator memory. Memory is reserved before an order leaves and freed only
//! when the engine confirms; an order with unknown outcome keeps its reservation.

use celerystair_core::prelude::*;
use thiserror::Error;

/// Accelerator memory of one upstream.
#[derive(Clone, Debug, Default)]
pub struct MemoryLedger {
    memory_bytes: u64,
    held: HashMap<ModelName, u64>,
}

/// There is not enough free memory.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{needed_bytes} bytes are needed and {free_bytes} are free")]
pub struct NoMemory {
    /// What the replica needs.
    pub needed_bytes: u64,
    /// What is free.
    pub free_bytes: u64,
}

impl MemoryLedger {
    /// A ledger of `memory_bytes` with nothing held.
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            memory_bytes,
            held: HashMap::default(),
        }
    }

    /// Notes how much memory the engine reports.
    pub fn set_memory_bytes(&mut self, memory_bytes: u64) {
        self.memory_bytes = memory_bytes;
    }

    /// Memory that a replica of `model` holds.
    pub fn held_bytes(&self, model: &ModelName) -> u64 {
        self.held.get(model).copied().unwrap_or_default()
    }

    /// Memory that nothing holds.
    pub fn free_bytes(&self) -> u64 {
        self.memory_bytes.saturating_sub(self.held.values().sum())
    }

    /// Whether more is held than there is, by an order that this ledger did not know of.
    pub fn is_overcommitted(&self) -> bool {
        self.held.values().sum::<u64>() > self.memory_bytes
    }

    /// Reserves memory for a replica of `model`; one that holds memory keeps what it has.
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

    /// Notes what the engine reports that a replica holds, whether it fits or not.
    pub fn set_held(&mut self, model: &ModelName, held_bytes: u64) {
        self.held.insert(model.clone(), held_bytes);
    }

    /// Frees what `model` held, after the engine's confirmation.
    pub fn release(&mut self, model: &ModelName) {
        self.held.remove(model);
    }
}
