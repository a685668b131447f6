//! How a platform's engines are asked and ordered.

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use http::HeaderName;

/// How engines of one platform are asked and ordered.
#[derive(Clone, Debug)]
pub struct EngineDialect {
    /// Where an engine reports its state.
    pub report_path: &'static str,
    /// Reads a report.
    pub read_report: fn(body: &[u8]) -> Result<EngineState, serde_json::Error>,
    /// Where an engine takes orders.
    pub order_path: &'static str,
    /// Writes an order.
    pub write_order: fn(order: &EngineOrder<'_>) -> Vec<u8>,
    /// Names the engine that an order is for; any other declines it.
    pub expected_upstream_header: HeaderName,
    /// Reads the status that answers an order.
    pub read_order_response: fn(status: u16) -> OrderResponse,
}

/// An order to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOrder<'a> {
    /// What to do.
    pub kind: OrderKind,
    /// With which model.
    pub model: &'a ModelName,
    /// Or with which adapter of it.
    pub adapter: Option<&'a str>,
    /// Orders that the engine has accepted before; it declines this one if there were others.
    pub expected_sequence: u64,
    /// Who gives it.
    pub holder: &'a str,
    /// The holder's fencing number.
    pub fence: u64,
}

/// What an order is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load.
    Load,
    /// Unload.
    Unload,
}

/// How an engine answers an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or has come in between.
    Conflict,
    /// Somebody has used a higher fencing number.
    Fenced,
    /// The engine at the address is another one.
    Misdirected,
    /// It can't be carried out.
    Refused,
}
