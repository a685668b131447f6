//! Placements, as this router last saw them.

use celerystair_platform::prelude::PlacementObject;
use serde::Serialize;

use crate::api::Admin;

/// A model and its slots.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementRow {
    /// The model.
    pub model: String,
    /// Its placement.
    #[serde(flatten)]
    pub placement: PlacementObject,
}

/// Every placement, by the model's name.
pub fn placements(admin: &Admin) -> Vec<PlacementRow> {
    let mut rows: Vec<PlacementRow> = admin
        .node
        .placements
        .all()
        .into_iter()
        .map(|(model, placement)| PlacementRow {
            model,
            placement: (*placement).clone(),
        })
        .collect();
    rows.sort_by(|a, b| a.model.cmp(&b.model));
    rows
}
