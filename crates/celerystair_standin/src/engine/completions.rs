//! Completions and chat completions of the engine, whole or streamed.

use std::{pin::pin, rc::Rc};

use bytes::Bytes;
use celerystair_core::prelude::*;
use celerystair_net::{json::json_response, prelude::*};
use futures_util::future::{Either, select};
use serde_json::{Value, json};

use super::{Engine, POISON, aborted_response};

/// Number of tokens of a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
/// Chunks buffered for a slow reader.
const CHUNKS_MAX: usize = 16;

/// A parsed request for a completion.
struct Completion {
    model: ModelRef,
    prompt: String,
    tokens: u64,
    stream: bool,
    is_chat: bool,
}

fn parse(body: &[u8]) -> Option<Completion> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let is_chat = value.get("messages").is_some();
    let prompt = match value.get("messages").and_then(Value::as_array) {
        Some(messages) => messages.last()?.get("content")?.as_str()?.to_owned(),
        None => value.get("prompt")?.as_str()?.to_owned(),
    };
    Some(Completion {
        model: ModelRef::parse(value.get("model")?.as_str()?),
        prompt,
        tokens: value
            .get("max_tokens")
            .and_then(Value::as_u64)
            .unwrap_or(DEFAULT_TOKENS),
        stream: value
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(false),
        is_chat,
    })
}

/// Returns the text of a token. The first token repeats the first word of the prompt, so that a
/// caller can recognise the answer to its own request.
fn token_text(completion: &Completion, index: u64) -> String {
    if index == 0 {
        completion
            .prompt
            .split_whitespace()
            .next()
            .unwrap_or_default()
            .to_owned()
    } else {
        format!(" t{index}")
    }
}

fn chunk_event(completion: &Completion, text: &str, finish: Option<&str>) -> Bytes {
    let (object, choice) = if completion.is_chat {
        let delta = json!({ "content": text });
        (
            "chat.completion.chunk",
            json!({ "index": 0, "delta": delta, "finish_reason": finish }),
        )
    } else {
        (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": finish }),
        )
    };
    let value =
        json!({ "object": object, "model": completion.model.to_string(), "choices": [choice] });
    Bytes::from(format!("data: {value}\n\n"))
}

fn whole_response(completion: &Completion, text: &str) -> HttpResponse {
    let (object, choice) = if completion.is_chat {
        let message = json!({ "role": "assistant", "content": text });
        (
            "chat.completion",
            json!({ "index": 0, "message": message, "finish_reason": "stop" }),
        )
    } else {
        (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": "stop" }),
        )
    };
    json_response(
        200,
        &json!({
            "object": object,
            "model": completion.model.to_string(),
            "choices": [choice],
            "usage": { "completion_tokens": completion.tokens },
        }),
    )
}

/// Counts a request as running on its replica until it is dropped, however the request ends.
struct RunningRequest {
    engine: Rc<Engine>,
    model: ModelName,
    boot: u64,
}

impl RunningRequest {
    fn start(engine: &Rc<Engine>, model: &ModelName) -> Self {
        let now = now_unix_ms();
        if let Some(replica) = engine.replicas.borrow_mut().get_mut(model) {
            if replica.running == 0 {
                replica.idle_ms += now - replica.idle_since_unix_ms;
            }
            replica.running += 1;
        }
        engine.running.set(engine.running.get() + 1);
        Self {
            engine: engine.clone(),
            model: model.clone(),
            boot: engine.boot.get(),
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.engine
            .running
            .set(self.engine.running.get().saturating_sub(1));
        if self.boot != self.engine.boot.get() {
            return;
        }
        if let Some(replica) = self.engine.replicas.borrow_mut().get_mut(&self.model) {
            replica.running = replica.running.saturating_sub(1);
            replica.idle_since_unix_ms = now_unix_ms();
        }
    }
}

impl Engine {
    pub(super) async fn handle_completion(self: &Rc<Self>, body: &[u8]) -> HttpResponse {
        let Some(completion) = parse(body) else {
            return json_response(400, &"bad request");
        };
        if !self.is_loaded(&completion.model) {
            return json_response(404, &"the model is not loaded");
        }
        let marker = token_text(&completion, 0);
        self.witness.record_completion(&marker);
        let running = RunningRequest::start(self, &completion.model.base);
        if completion.prompt.contains(POISON) {
            self.crash();
            return aborted_response();
        }
        if completion.stream {
            return self.stream(completion, running);
        }
        let mut text = String::new();
        for index in 0..completion.tokens {
            if !self.wait_for_token(index, running.boot).await {
                return aborted_response();
            }
            text.push_str(&token_text(&completion, index));
        }
        whole_response(&completion, &text)
    }

    fn is_loaded(&self, model: &ModelRef) -> bool {
        let replicas = self.replicas.borrow();
        replicas.get(&model.base).is_some_and(|replica| {
            let adapter_loaded = model
                .adapter
                .as_ref()
                .is_none_or(|adapter| replica.adapters.contains(&**adapter));
            replica.loaded_unix_ms.is_some() && !replica.is_unloading && adapter_loaded
        })
    }

    /// Waits until the token at `index` is ready. Returns false if the engine crashed meanwhile.
    async fn wait_for_token(&self, index: u64, boot: u64) -> bool {
        if boot != self.boot.get() {
            return false;
        }
        let uncontended_ms = if index == 0 {
            self.settings.first_token_ms
        } else {
            self.settings.token_interval_ms
        };
        let slowdown = f64::from(self.running.get()) / f64::from(self.settings.batch_max);
        let crashed = self.crashed.listen();
        let work = pin!(sleep_ms((uncontended_ms as f64 * slowdown.max(1.0)) as u64));
        matches!(select(work, crashed).await, Either::Left(_)) && boot == self.boot.get()
    }

    fn stream(self: &Rc<Self>, completion: Completion, running: RunningRequest) -> HttpResponse {
        let (chunks, body) = async_channel::bounded(CHUNKS_MAX);
        let engine = self.clone();
        compio::runtime::spawn(async move {
            // Moves the whole guard in, so that it is dropped when this task ends.
            let running = running;
            for index in 0..completion.tokens {
                // A reader that closes the stream cancels the request.
                let reader_left = pin!(chunks.closed());
                let step = pin!(engine.wait_for_token(index, running.boot));
                match select(step, reader_left).await {
                    Either::Left((true, _)) => {}
                    Either::Left((false, _)) => {
                        chunks.send(Err(BodyError)).await.ok();
                        return;
                    }
                    Either::Right(_) => return,
                }
                let text = token_text(&completion, index);
                if chunks
                    .send(Ok(chunk_event(&completion, &text, None)))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            chunks
                .send(Ok(chunk_event(&completion, "", Some("stop"))))
                .await
                .ok();
            chunks
                .send(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
                .await
                .ok();
        })
        .detach();
        let mut response = http::Response::new(HttpBody::chunks(body));
        response.headers_mut().insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("text/event-stream"),
        );
        response
    }
}
