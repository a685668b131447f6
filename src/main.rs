//! The program that contains all processes and tools of the system: `celerystair <command>`.

mod commands;

use argh::FromArgs;
use commands::{admin, agent, check, load, router, standin, timeline, try_fleet};

/// A serving system for rarely used models.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Admin(admin::AdminCommand),
    Agent(agent::AgentCommand),
    Check(check::CheckCommand),
    Load(load::LoadCommand),
    Router(router::RouterCommand),
    Standin(standin::StandinCommand),
    Timeline(timeline::TimelineCommand),
    Try(try_fleet::TryCommand),
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Admin(command) => admin::run(&command),
        Command::Agent(command) => agent::run(&command),
        Command::Check(command) => check::run(&command),
        Command::Load(command) => load::run(&command),
        Command::Router(command) => router::run(&command),
        Command::Standin(command) => standin::run(&command),
        Command::Timeline(command) => timeline::run(&command),
        Command::Try(command) => try_fleet::run(&command),
    }
}
