//! Calls to the administration API. A change whose answer was lost is sent again under its id.

use celerystair::{
    admin::commands::change::ChangeBody, config::change::Edit, core::prelude::*,
    core::time::before_deadline,
};
use serde_json::{Value, json};

/// How long a change whose answer was lost is sent again under its id.
const RESEND_MS: u64 = 30_000;
const RESEND_INTERVAL_MS: u64 = 500;
/// A request longer than this has lost its answer.
const ANSWER_TIMEOUT_MS: u64 = 15_000;

/// Calls one router.
pub struct AdminClient {
    /// HTTP.
    pub client: cyper::Client,
    /// Where the API is.
    pub url: String,
    /// The bearer token.
    pub token: String,
}

/// What a call came to.
enum CallError {
    /// The API refused it; nothing was done.
    Refused(String),
    /// Nothing or something may have been done.
    Unknown(String),
}

impl From<CallError> for eyre::Report {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Refused(detail) => eyre::eyre!("{detail}"),
            CallError::Unknown(detail) => eyre::eyre!("the outcome is not known: {detail}"),
        }
    }
}

impl AdminClient {
    /// Reads a path.
    pub async fn get(&self, path: &str) -> eyre::Result<Value> {
        self.call(http::Method::GET, path, None).await
    }

    /// The revision in force at the router.
    pub async fn revision(&self) -> eyre::Result<u64> {
        let config = self.get("config").await?;
        Ok(config["revision"].as_u64().unwrap_or_default())
    }

    /// Makes one edit, based on what is in force now.
    pub async fn edit(&self, reason: &str, edit: Edit) -> eyre::Result<Value> {
        let based_on = self.revision().await?;
        let body = Self::body(reason.to_owned(), vec![edit], based_on);
        self.send_change(&body).await
    }

    /// A change under a new id.
    pub fn body(reason: String, edits: Vec<Edit>, based_on: u64) -> ChangeBody {
        ChangeBody {
            change_id: change_id(),
            based_on,
            reason,
            edits,
            check_only: false,
        }
    }

    /// Makes a change.
    pub async fn send_change(&self, body: &ChangeBody) -> eyre::Result<Value> {
        let body = serde_json::to_value(body)?;
        self.resend(http::Method::POST, "changes", &body).await
    }

    /// Drains an upstream, or ends its drain.
    pub async fn send_drain(
        &self,
        method: http::Method,
        path: &str,
        reason: &str,
    ) -> eyre::Result<Value> {
        let body = json!({"reason": reason, "change_id": change_id()});
        self.resend(method, path, &body).await
    }

    /// Sends a change until its outcome is known; its id keeps it from taking effect twice.
    async fn resend(&self, method: http::Method, path: &str, body: &Value) -> eyre::Result<Value> {
        let deadline_unix_ms = now_unix_ms() + RESEND_MS;
        loop {
            match self.try_call(&method, path, Some(body)).await {
                Err(CallError::Unknown(_)) if now_unix_ms() < deadline_unix_ms => {
                    sleep_ms(RESEND_INTERVAL_MS).await;
                }
                result => return Ok(result?),
            }
        }
    }

    /// Calls a path once.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Option<&Value>,
    ) -> eyre::Result<Value> {
        Ok(self.try_call(&method, path, body).await?)
    }

    async fn try_call(
        &self,
        method: &http::Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CallError> {
        let unknown = |error: &dyn std::fmt::Display| CallError::Unknown(error.to_string());
        let work = async {
            let url = format!("{}/admin/v1/{path}", self.url);
            let mut request = self
                .client
                .request(method.clone(), url)?
                .header("authorization", format!("Bearer {}", self.token))?;
            if let Some(body) = body {
                request = request.body(body.to_string());
            }
            let response = request.send().await?;
            let status = response.status().as_u16();
            Ok::<_, cyper::Error>((status, response.json::<Value>().await?))
        };
        let deadline_unix_ms = now_unix_ms() + ANSWER_TIMEOUT_MS;
        let (status, reply) = before_deadline(deadline_unix_ms, work)
            .await
            .ok_or_else(|| unknown(&"no answer in time"))?
            .map_err(|error| unknown(&error))?;
        let detail = reply["detail"].as_str().unwrap_or("no reason was given");
        match status {
            200 => Ok(reply),
            _ if reply["may_be_in_force"] == json!(true) => Err(unknown(&detail)),
            _ => Err(CallError::Refused(detail.to_owned())),
        }
    }
}

fn change_id() -> String {
    format!("cli-{:016x}", rand::random::<u64>())
}
