//! Placements, as last read by this router.

use celerystair_platform::prelude::PlacementObject;
use serde::Serialize;

use crate::api::AdminState;

/// The placement of one model.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementRow {
    /// The name of the model.
    pub model: String,
    /// The model's placement.
    #[serde(flatten)]
    pub placement: PlacementObject,
}

/// Returns every placement, sorted by the model's name.
pub fn list_placements(admin: &AdminState) -> Vec<PlacementRow> {
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
