//! `celerystair admin`: the administration API from a terminal.

use std::{io::Write, path::PathBuf};

use argh::FromArgs;
use celerystair::config::{change::Edit, prelude::*};
use eyre::{WrapErr, bail};
use serde_json::Value;

use super::{admin_client::AdminClient, process::block_on, table::print_table};

const TOKEN_VARIABLE: &str = "CELERYSTAIR_ADMIN_TOKEN";
/// Reads and edits the fleet's configuration through a router's administration API. The token
/// is read from the variable `CELERYSTAIR_ADMIN_TOKEN` or a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "admin")]
pub struct AdminCommand {
    /// where the administration API is, such as `http://127.0.0.1:8091`
    #[argh(option, default = "\"http://127.0.0.1:8091\".to_owned()")]
    url: String,
    /// a file with the token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// ask nothing
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

/// Makes the change in a file: `{"reason": ..., "edits": [...]}`, all or none.
#[derive(FromArgs)]
#[argh(subcommand, name = "batch")]
struct Batch {
    /// only say what would become of it
    #[argh(switch)]
    check_only: bool,
    /// the revision that the edits are based on; the one in force if absent
    #[argh(option)]
    based_on: Option<u64>,
    /// the file, JSON with comments
    #[argh(positional)]
    file: PathBuf,
}

/// Clears a request of the suspicion that it crashes upstreams. Can't be undone.
#[derive(FromArgs)]
#[argh(subcommand, name = "clear-suspect")]
struct ClearSuspect {
    /// the request's fingerprint
    #[argh(positional)]
    fingerprint: String,
}

/// Shows defaults and exceptions.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
struct ShowConfig {}

/// Keeps new work from an upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// why
    #[argh(option)]
    reason: String,
    /// the upstream
    #[argh(positional)]
    upstream: String,
}

/// Sets an exception.
#[derive(FromArgs)]
#[argh(subcommand, name = "except")]
struct Except {
    /// why
    #[argh(option)]
    reason: String,
    /// when it starts, in milliseconds since 1970
    #[argh(option)]
    from_unix_ms: Option<u64>,
    /// when it ends, in milliseconds since 1970
    #[argh(option)]
    until_unix_ms: Option<u64>,
    /// one of `adapter`, `failure_domain`, `organisation`, `kind`, `model`, `upstream`
    #[argh(positional)]
    kind: String,
    /// its name
    #[argh(positional)]
    name: String,
    /// the field
    #[argh(positional)]
    field: String,
    /// the value, as JSON
    #[argh(positional)]
    value: String,
}

/// Shows what is in force for something, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// one of `adapter`, `failure_domain`, `organisation`, `kind`, `model`, `upstream`
    #[argh(positional)]
    kind: String,
    /// its name
    #[argh(positional)]
    name: String,
}

/// Shows the last changes, latest first.
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
    /// why
    #[argh(option)]
    reason: String,
    /// one of `adapter`, `failure_domain`, `organisation`, `kind`, `model`, `upstream`
    #[argh(positional)]
    kind: String,
    /// its name
    #[argh(positional)]
    name: String,
    /// the field
    #[argh(positional)]
    field: String,
}

/// Sets a default.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// why
    #[argh(option)]
    reason: String,
    /// the field
    #[argh(positional)]
    field: String,
    /// the value, as JSON
    #[argh(positional)]
    value: String,
}

/// Shows the revision in force in each process.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Shows requests under suspicion of crashing upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "suspects")]
struct Suspects {}

/// Lets new work go to an upstream again.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
struct Undrain {
    /// why
    #[argh(option)]
    reason: String,
    /// the upstream
    #[argh(positional)]
    upstream: String,
}

/// The file of a batch.
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

/// Runs one action.
pub fn run(command: &AdminCommand) -> eyre::Result<()> {
    let client = AdminClient {
        client: cyper::Client::new()?,
        url: command.url.trim_end_matches('/').to_owned(),
        token: read_token(command)?,
    };
    let reply = block_on(act(command, &client))??;
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
            .wrap_err_with(|| format!("name a --token-file or set {TOKEN_VARIABLE}"))?,
    };
    Ok(token.trim().to_owned())
}

async fn act(command: &AdminCommand, client: &AdminClient) -> eyre::Result<Value> {
    match &command.action {
        Action::Batch(batch) => {
            let file: BatchFile = read_settings_file(&batch.file)?;
            let based_on = match batch.based_on {
                Some(revision) => revision,
                None => client.revision().await?,
            };
            let mut body = AdminClient::body(file.reason, file.edits, based_on);
            body.check_only = batch.check_only;
            client.send_change(&body).await
        }
        Action::ClearSuspect(clear) => {
            confirm(
                command,
                &format!("clear {}? This can't be undone", clear.fingerprint),
            )?;
            let path = format!("suspects/{}", clear.fingerprint);
            client.call(http::Method::DELETE, &path, None).await
        }
        Action::Config(_) => client.get("config").await,
        Action::Drain(drain) => {
            confirm(
                command,
                &format!("keep all new work from {}?", drain.upstream),
            )?;
            let path = format!("upstreams/{}/drain", drain.upstream);
            client
                .send_drain(http::Method::PUT, &path, &drain.reason)
                .await
        }
        Action::Except(except) => {
            let edit = Edit::SetException {
                scope: scope(&except.kind, &except.name)?,
                field: except.field.clone(),
                value: value(&except.value),
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
                scope: scope(&remove.kind, &remove.name)?,
                field: remove.field.clone(),
            };
            client.edit(&remove.reason, edit).await
        }
        Action::Set(set) => {
            let edit = Edit::SetDefault {
                field: set.field.clone(),
                value: value(&set.value),
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

fn scope(kind: &str, name: &str) -> eyre::Result<Scope> {
    let names = ScopeKind::ALL.map(ScopeKind::as_str).join(", ");
    let kind = ScopeKind::from_name(kind)
        .ok_or_else(|| eyre::eyre!("{kind} is no kind of scope; there are {names}"))?;
    Ok(Scope {
        kind,
        name: name.to_owned(),
    })
}

/// JSON if it is that, text otherwise.
fn value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

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
