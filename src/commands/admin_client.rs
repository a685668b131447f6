//! A client of the administration API. A change whose response was lost is sent again under its id.

use celerystair::{
    admin::commands::change::ChangeBody, config::change::Edit, core::prelude::*,
    core::time::before_deadline,
};
use serde_json::{Value, json};

/// How long a change is sent again after its first attempt, while its outcome is unknown.
const RESEND_MS: u64 = 30_000;
const RESEND_INTERVAL_MS: u64 = 500;
/// Timeout of one call; after it the outcome is unknown.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// Calls the administration API of one router.
pub struct AdminClient {
    /// The HTTP client.
    pub client: cyper::Client,
    /// The router's base URL, without a trailing slash.
    pub url: String,
    /// The bearer token that authenticates the operator.
    pub token: String,
}

/// Why a call failed.
enum CallError {
    /// The API refused the call; nothing was changed.
    Refused(String),
    /// The call may or may not have changed something.
    Unknown(String),
}

impl From<CallError> for eyre::Report {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Refused(detail) => eyre::eyre!("{detail}"),
            CallError::Unknown(detail) => eyre::eyre!("the outcome is unknown: {detail}"),
        }
    }
}

impl AdminClient {
    /// Gets the JSON at `path`, relative to `/admin/v1/`.
    pub async fn get(&self, path: &str) -> eyre::Result<Value> {
        self.call(http::Method::GET, path, None).await
    }

    /// Gets the revision in force in the router.
    pub async fn revision(&self) -> eyre::Result<u64> {
        let config = self.get("config").await?;
        Ok(config["revision"].as_u64().unwrap_or_default())
    }

    /// Makes a change with one edit, based on the revision in force.
    pub async fn edit(&self, reason: &str, edit: Edit) -> eyre::Result<Value> {
        let based_on = self.revision().await?;
        let body = Self::new_change(reason.to_owned(), vec![edit], based_on);
        self.send_change(&body).await
    }

    /// Builds a change with a new id.
    pub fn new_change(reason: String, edits: Vec<Edit>, based_on: u64) -> ChangeBody {
        ChangeBody {
            change_id: random_change_id(),
            based_on,
            reason,
            edits,
            check_only: false,
        }
    }

    /// Sends a change until its outcome is known.
    pub async fn send_change(&self, body: &ChangeBody) -> eyre::Result<Value> {
        let body = serde_json::to_value(body)?;
        self.send_until_known(http::Method::POST, "changes", &body)
            .await
    }

    /// Starts or ends the drain of an upstream; `method` is `PUT` or `DELETE`.
    pub async fn send_drain(
        &self,
        method: http::Method,
        path: &str,
        reason: &str,
    ) -> eyre::Result<Value> {
        let body = json!({"reason": reason, "change_id": random_change_id()});
        self.send_until_known(method, path, &body).await
    }

    /// Sends a change until its outcome is known or [`RESEND_MS`] have passed; the change's id
    /// keeps it from being applied twice.
    async fn send_until_known(
        &self,
        method: http::Method,
        path: &str,
        body: &Value,
    ) -> eyre::Result<Value> {
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

    /// Calls `path` once.
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
        let call = async {
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
        let deadline_unix_ms = now_unix_ms() + CALL_TIMEOUT_MS;
        let (status, reply) = before_deadline(deadline_unix_ms, call)
            .await
            .ok_or_else(|| unknown(&"no response in time"))?
            .map_err(|error| unknown(&error))?;
        let detail = reply["detail"]
            .as_str()
            .unwrap_or("the response gives no reason");
        match status {
            200 => Ok(reply),
            _ if reply["may_be_in_force"] == json!(true) => Err(unknown(&detail)),
            _ => Err(CallError::Refused(detail.to_owned())),
        }
    }
}

fn random_change_id() -> String {
    format!("cli-{:016x}", rand::random::<u64>())
}
