//! `celerystair admin`: a command-line client of the administration API.

use std::{io::Write, path::PathBuf};

use argh::FromArgs;
use celerystair::config::{change::Edit, prelude::*};
use eyre::{WrapErr, bail};
use serde_json::Value;

use super::{admin_client::AdminClient, process::block_on, table::print_table};

const TOKEN_VARIABLE: &str = "CELERYSTAIR_ADMIN_TOKEN";

/// Reads and edits the fleet's configuration through a router's administration API, with the token
/// in the environment variable `CELERYSTAIR_ADMIN_TOKEN` or in a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "admin")]
pub struct AdminCommand {
    /// the URL of the administration API, such as `http://127.0.0.1:8091`
    #[argh(option, default = "\"http://127.0.0.1:8091\".to_owned()")]
    url: String,
    /// the file that contains the token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// skip confirmation prompts
    #[argh(switch)]
    yes: bool,
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Batch(Batch),
    ClearSuspect(ClearSuspect),
    Config(ShowConfig),
    Drain(Drain),
    Except(Except),
    Explain(Explain),
    History(History),
    Placements(Placements),
    Remove(Remove),
    Set(Set),
    Status(Status),
    Suspects(Suspects),
    Undrain(Undrain),
}

/// Applies all edits of a file, or none: `{"reason": ..., "edits": [...]}`.
#[derive(FromArgs)]
#[argh(subcommand, name = "batch")]
struct Batch {
    /// check the change without applying it
    #[argh(switch)]
    check_only: bool,
    /// the revision that the edits are based on, by default the one in force
    #[argh(option)]
    based_on: Option<u64>,
    /// the file of edits, JSON with comments
    #[argh(positional)]
    file: PathBuf,
}

/// Clears a request of the suspicion of crashing upstreams, which can't be undone.
#[derive(FromArgs)]
#[argh(subcommand, name = "clear-suspect")]
struct ClearSuspect {
    /// the fingerprint of the suspect request
    #[argh(positional)]
    fingerprint: String,
}

/// Shows the defaults and exceptions in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
struct ShowConfig {}

/// Drains an upstream: routers send it no new work.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// the reason for the change
    #[argh(option)]
    reason: String,
    /// the upstream
    #[argh(positional)]
    upstream: String,
}

/// Sets an exception: a value that overrides the default in one scope.
#[derive(FromArgs)]
#[argh(subcommand, name = "except")]
struct Except {
    /// the reason for the change
    #[argh(option)]
    reason: String,
    /// when the exception starts to apply, in milliseconds since 1970
    #[argh(option)]
    from_unix_ms: Option<u64>,
    /// when the exception stops applying, in milliseconds since 1970
    #[argh(option)]
    until_unix_ms: Option<u64>,
    /// the kind of scope: `adapter`, `failure_domain`, `organisation`, `kind`, `model` or `upstream`
    #[argh(positional)]
    kind: String,
    /// the name of the scope, such as the model's name
    #[argh(positional)]
    name: String,
    /// the name of the field
    #[argh(positional)]
    field: String,
    /// the value, as JSON or plain text
    #[argh(positional)]
    value: String,
}

/// Shows the values in force for a scope, and where they come from.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the kind of scope: `adapter`, `failure_domain`, `organisation`, `kind`, `model` or `upstream`
    #[argh(positional)]
    kind: String,
    /// the name of the scope, such as the model's name
    #[argh(positional)]
    name: String,
}

/// Shows recent changes, latest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {}

/// Shows the placements of all models.
#[derive(FromArgs)]
#[argh(subcommand, name = "placements")]
struct Placements {}

/// Removes an exception.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// the reason for the change
    #[argh(option)]
    reason: String,
    /// the kind of scope: `adapter`, `failure_domain`, `organisation`, `kind`, `model` or `upstream`
    #[argh(positional)]
    kind: String,
    /// the name of the scope, such as the model's name
    #[argh(positional)]
    name: String,
    /// the name of the field
    #[argh(positional)]
    field: String,
}

/// Sets the default of a field.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// the reason for the change
    #[argh(option)]
    reason: String,
    /// the name of the field
    #[argh(positional)]
    field: String,
    /// the value, as JSON or plain text
    #[argh(positional)]
    value: String,
}

/// Shows the revision in force in each process.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Shows suspects, the requests that are suspected of crashing upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "suspects")]
struct Suspects {}

/// Ends the drain of an upstream: routers send it new work again.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
struct Undrain {
    /// the reason for the change
    #[argh(option)]
    reason: String,
    /// the upstream
    #[argh(positional)]
    upstream: String,
}

/// The contents of the file of `celerystair admin batch`.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct BatchFile {
    reason: String,
    edits: Vec<Edit>,
}

impl celerystair::config::read::Checked for BatchFile {
    fn check(&self, problems: &mut celerystair::config::read::Problems) {
        problems.require(!self.edits.is_empty(), "edits", "must not be empty");
    }
}

/// Runs the command's action and prints its result.
pub fn run(command: &AdminCommand) -> eyre::Result<()> {
    let client = AdminClient {
        client: cyper::Client::new()?,
        url: command.url.trim_end_matches('/').to_owned(),
        token: read_token(command)?,
    };
    let reply = block_on(run_action(command, &client))??;
    if command.json {
        println!("{}", serde_json::to_string_pretty(&reply)?);
    } else {
        print_table(&reply);
    }
    Ok(())
}

fn read_token(command: &AdminCommand) -> eyre::Result<String> {
    let token = match &command.token_file {
        Some(path) => std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?,
        None => std::env::var(TOKEN_VARIABLE)
            .wrap_err_with(|| format!("give --token-file FILE or set {TOKEN_VARIABLE}"))?,
    };
    Ok(token.trim().to_owned())
}

async fn run_action(command: &AdminCommand, client: &AdminClient) -> eyre::Result<Value> {
    match &command.action {
        Action::Batch(batch) => {
            let file: BatchFile = read_settings_file(&batch.file)?;
            let based_on = match batch.based_on {
                Some(revision) => revision,
                None => client.revision().await?,
            };
            let mut body = AdminClient::new_change(file.reason, file.edits, based_on);
            body.check_only = batch.check_only;
            client.send_change(&body).await
        }
        Action::ClearSuspect(clear) => {
            confirm(
                command,
                &format!("clear suspect {}? This can't be undone.", clear.fingerprint),
            )?;
            let path = format!("suspects/{}", clear.fingerprint);
            client.call(http::Method::DELETE, &path, None).await
        }
        Action::Config(_) => client.get("config").await,
        Action::Drain(drain) => {
            confirm(command, &format!("send no new work to {}?", drain.upstream))?;
            let path = format!("upstreams/{}/drain", drain.upstream);
            client
                .send_drain(http::Method::PUT, &path, &drain.reason)
                .await
        }
        Action::Except(except) => {
            let edit = Edit::SetException {
                scope: parse_scope(&except.kind, &except.name)?,
                field: except.field.clone(),
                value: parse_value(&except.value),
                from_unix_ms: except.from_unix_ms,
                until_unix_ms: except.until_unix_ms,
            };
            client.edit(&except.reason, edit).await
        }
        Action::Explain(explain) => {
            let path = format!("explain/{}/{}", explain.kind, explain.name);
            client.get(&path).await
        }
        Action::History(_) => client.get("changes").await,
        Action::Placements(_) => client.get("placements").await,
        Action::Remove(remove) => {
            let edit = Edit::RemoveException {
                scope: parse_scope(&remove.kind, &remove.name)?,
                field: remove.field.clone(),
            };
            client.edit(&remove.reason, edit).await
        }
        Action::Set(set) => {
            let edit = Edit::SetDefault {
                field: set.field.clone(),
                value: parse_value(&set.value),
            };
            client.edit(&set.reason, edit).await
        }
        Action::Status(_) => client.get("status").await,
        Action::Suspects(_) => client.get("suspects").await,
        Action::Undrain(undrain) => {
            let path = format!("upstreams/{}/drain", undrain.upstream);
            client
                .send_drain(http::Method::DELETE, &path, &undrain.reason)
                .await
        }
    }
}

fn parse_scope(kind: &str, name: &str) -> eyre::Result<Scope> {
    let names = ScopeKind::ALL.map(ScopeKind::as_str).join(", ");
    let kind = ScopeKind::from_name(kind)
        .ok_or_else(|| eyre::eyre!("{kind} is not a kind of scope; expected one of {names}"))?;
    Ok(Scope {
        kind,
        name: name.to_owned(),
    })
}

/// Parses `text` as JSON, or returns it as a string if it is not JSON.
fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

/// Asks on the terminal unless `--yes` is given; fails if the answer is not `y`.
fn confirm(command: &AdminCommand, question: &str) -> eyre::Result<()> {
    if command.yes {
        return Ok(());
    }
    eprint!("{question} [y/N] ");
    std::io::stderr().flush()?;
    let mut answer = String::new();
    std::io::stdin().read_line(&mut answer)?;
    if answer.trim().eq_ignore_ascii_case("y") {
        return Ok(());
    }
    bail!("nothing was done")
}
