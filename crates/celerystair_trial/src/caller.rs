//! A caller that checks that each response belongs to its own request.

use std::net::SocketAddr;

use celerystair_core::{
    prelude::*,
    time::{before_deadline, now_unix_us},
};
use futures_util::StreamExt;
use serde_json::{Value, json};

use crate::stalls::Stalls;

/// How long a caller waits past its deadline, so that late responses can be measured.
const GRACE_MS: u64 = 10_000;

/// One call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the router.
    pub router: SocketAddr,
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Kind of the call.
    pub kind: KindName,
    /// What is called.
    pub target: CallTarget,
    /// Request timeout.
    pub timeout_ms: u64,
}

/// Model or service that is called.
#[derive(Clone, Debug)]
pub enum CallTarget {
    /// A chat completion.
    Completion {
        /// Name of the model, followed by `:` and the adapter if there is one.
        model: String,
        /// Number of tokens of the response.
        tokens: u64,
        /// Whether it is streamed.
        stream: bool,
        /// First word of the prompt, unique to this call, which the response must repeat.
        marker: String,
    },
    /// A call to a plain service.
    Service {
        /// HTTP method.
        method: http::Method,
        /// Path, which starts with `/services/`.
        path: String,
        /// Idempotency key; empty for none.
        key: String,
    },
}

/// Outcome of a call, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete response to its own request.
    Answered,
    /// A refusal with a problem document.
    Refused {
        /// Reason in the problem document.
        reason: RefusalReason,
        /// Whether the request has run, as the problem document says.
        run: RunState,
    },
    /// A response that started and then failed with a visible error.
    Cut,
    /// A response to another request, or an incomplete one without a visible error.
    Wrong(String),
    /// No response, or no connection.
    Lost(String),
}

/// Outcome of a call, with its times.
#[derive(Clone, Debug)]
pub struct Received {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// When the call was made.
    pub called_unix_ms: u64,
    /// When the first byte of the response body arrived; 0 if none did.
    pub first_byte_unix_ms: u64,
    /// When the response ended.
    pub ended_unix_ms: u64,
    /// Deadline of the request.
    pub deadline_unix_ms: u64,
    /// How long the caller's own thread stalled around the deadline.
    pub stalled_ms: u64,
    /// How long the request waited for a replica to be loaded.
    pub cold_start_ms: u64,
    /// Times between the chunks of a streamed response, in microseconds.
    pub between_tokens_us: Vec<u64>,
}

/// A caller; its clones share connections, and stay on one thread.
#[derive(Clone)]
pub struct Caller {
    client: cyper::Client,
    stalls: Stalls,
}

impl Received {
    /// Returns whether the response ended more than `margin_ms` after the deadline, not counting
    /// stalls of the caller's own thread.
    pub fn is_late(&self, margin_ms: u64) -> bool {
        self.ended_unix_ms > self.deadline_unix_ms + margin_ms + self.stalled_ms
    }
}

impl Caller {
    /// Creates a caller, and starts to watch this thread for stalls.
    pub fn new() -> Result<Self, cyper::Error> {
        Ok(Self {
            client: cyper::Client::new()?,
            stalls: Stalls::watch(),
        })
    }

    /// Makes the call, and reads the response to its end.
    pub async fn call(&self, call: &Call) -> Received {
        let called_unix_ms = now_unix_ms();
        let deadline_unix_ms = called_unix_ms + call.timeout_ms;
        let mut received = Received {
            outcome: Outcome::Lost("no response".to_owned()),
            called_unix_ms,
            first_byte_unix_ms: 0,
            ended_unix_ms: 0,
            deadline_unix_ms,
            stalled_ms: 0,
            cold_start_ms: 0,
            between_tokens_us: Vec::new(),
        };
        let response = self.read_response(call, &mut received);
        let outcome = before_deadline(deadline_unix_ms + GRACE_MS, response).await;
        if let Some(outcome) = outcome {
            received.outcome = outcome.unwrap_or_else(|error| Outcome::Lost(error.to_string()));
        }
        received.ended_unix_ms = now_unix_ms();
        received.stalled_ms = self.stalls.around_ms(deadline_unix_ms);
        received
    }

    async fn read_response(
        &self,
        call: &Call,
        received: &mut Received,
    ) -> Result<Outcome, cyper::Error> {
        let response = self.build_request(call)?.send().await?;
        let status = response.status().as_u16();
        let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
        let is_problem = header("content-type") == Some("application/problem+json");
        if let Some(timing) =
            header("server-timing").and_then(|v| v.strip_prefix("cold-start;dur="))
        {
            received.cold_start_ms = timing.parse().unwrap_or_default();
        }
        let mut body = Vec::new();
        let mut last_chunk_us = 0;
        let mut chunks = std::pin::pin!(response.bytes_stream());
        while let Some(chunk) = chunks.next().await {
            match chunk {
                Ok(chunk) => {
                    let now_us = now_unix_us();
                    if received.first_byte_unix_ms == 0 {
                        received.first_byte_unix_ms = now_us / 1000;
                    }
                    if last_chunk_us > 0 {
                        received.between_tokens_us.push(now_us - last_chunk_us);
                    }
                    last_chunk_us = now_us;
                    body.extend_from_slice(&chunk);
                }
                Err(_) => return Ok(Outcome::Cut),
            }
        }
        if is_problem {
            return Ok(parse_problem(&body));
        }
        if status != 200 {
            return Ok(Outcome::Wrong(format!(
                "status {status} without a problem document"
            )));
        }
        Ok(check_response(&call.target, &body))
    }

    fn build_request(&self, call: &Call) -> Result<cyper::RequestBuilder, cyper::Error> {
        let base = format!("http://{}", call.router);
        let request = match &call.target {
            CallTarget::Completion {
                model,
                tokens,
                stream,
                marker,
            } => {
                let body = json!({
                    "model": model,
                    "max_tokens": tokens,
                    "stream": stream,
                    "messages": [{ "role": "user", "content": format!("{marker} please") }],
                });
                self.client
                    .post(format!("{base}/v1/chat/completions"))?
                    .body(body.to_string())
            }
            CallTarget::Service { method, path, key } => {
                let mut request = self
                    .client
                    .request(method.clone(), format!("{base}{path}"))?;
                if !key.is_empty() {
                    request = request.header("idempotency-key", key.as_str())?;
                }
                request.body(key.clone())
            }
        };
        request
            .header("celerystair-organisation", call.organisation.as_str())?
            .header("celerystair-kind", call.kind.as_str())?
            .header("request-timeout-ms", call.timeout_ms.to_string())
    }
}

fn parse_problem(body: &[u8]) -> Outcome {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match (value["reason"].as_str(), value["run"].as_str()) {
        (Some(reason), Some(run)) => Outcome::Refused {
            reason: RefusalReason::from_wire_name(reason),
            run: RunState::from_wire_name(run),
        },
        _ => Outcome::Wrong("a problem document without reason or run".to_owned()),
    }
}

fn check_response(target: &CallTarget, body: &[u8]) -> Outcome {
    let text = String::from_utf8_lossy(body);
    let (expected, found) = match target {
        CallTarget::Completion {
            tokens,
            stream: true,
            marker,
            ..
        } => {
            if !text.ends_with("data: [DONE]\n\n") {
                return Outcome::Wrong("a stream without its end marker".to_owned());
            }
            (expected_text(marker, *tokens), streamed_text(&text))
        }
        CallTarget::Completion {
            tokens,
            stream: false,
            marker,
            ..
        } => {
            let value: Value = serde_json::from_slice(body).unwrap_or_default();
            let content = value["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default();
            (expected_text(marker, *tokens), content.to_owned())
        }
        CallTarget::Service { key, .. } => {
            let value: Value = serde_json::from_slice(body).unwrap_or_default();
            (
                key.clone(),
                value["key"].as_str().unwrap_or("none").to_owned(),
            )
        }
    };
    if expected == found {
        Outcome::Answered
    } else {
        Outcome::Wrong(format!("expected {expected:?}, found {found:?}"))
    }
}

/// Returns the text that the engine stand-in generates for a prompt that starts with `marker`.
fn expected_text(marker: &str, tokens: u64) -> String {
    let mut words = vec![marker.to_owned()];
    words.extend((1..tokens).map(|index| format!("t{index}")));
    words.join(" ")
}

/// Concatenates the text of a stream's events.
fn streamed_text(text: &str) -> String {
    text.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|value| {
            value["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect()
}
