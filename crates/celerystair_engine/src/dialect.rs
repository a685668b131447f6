//! The HTTP interface of a platform's engines: reports and orders.

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use http::HeaderName;

/// The paths, encodings and headers by which engines of one platform report their state and receive
/// orders.
#[derive(Clone, Debug)]
pub struct EngineDialect {
    /// The path under which an engine reports its state.
    pub report_path: &'static str,
    /// Parses the body of a report.
    pub read_report: fn(body: &[u8]) -> Result<EngineState, serde_json::Error>,
    /// The path that orders are posted to.
    pub order_path: &'static str,
    /// Encodes the body of an order.
    pub write_order: fn(order: &EngineOrder<'_>) -> Vec<u8>,
    /// The header that names the engine for which an order is meant; any other engine declines it.
    pub expected_upstream_header: HeaderName,
    /// Interprets the HTTP status of the response to an order.
    pub read_order_response: fn(status: u16) -> OrderResponse,
}

/// An order to load or unload a model or one of its adapters.
#[derive(Clone, Copy, Debug)]
pub struct EngineOrder<'a> {
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// The model, or the base model of `adapter`.
    pub model: &'a ModelName,
    /// The adapter; `None` if the order is for the model itself.
    pub adapter: Option<&'a str>,
    /// How many orders the engine has accepted since its start, as last reported. The engine
    /// declines this order if it has accepted more.
    pub expected_sequence: u64,
    /// The name of the agent that sends the order.
    pub holder: &'a str,
    /// The fencing token of that agent.
    pub fence: u64,
}

/// Whether an order loads or unloads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// The response of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine is already in the state that the order asks for.
    Holds,
    /// Another order is in progress, or was accepted since the report that this one is based on.
    Conflict,
    /// An order with a higher fencing token was received before.
    Fenced,
    /// A different engine runs at the address.
    Misdirected,
    /// The engine can't carry out the order.
    Refused,
}
