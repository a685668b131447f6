//! `celerystair timeline`: merges and filters recorded events.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::telemetry::{
    picture,
    story::{EventFilter, MergedTimeline},
};

/// Merges the events of several processes, and prints or draws those of one request, model or
/// upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineCommand {
    /// files of events, one JSON object per line
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// only this request, and the events of its model on its upstreams in the meantime
    #[argh(option, default = "String::new()")]
    request: String,
    /// only this model and its adapters
    #[argh(option, default = "String::new()")]
    model: String,
    /// only this upstream
    #[argh(option, default = "String::new()")]
    upstream: String,
    /// draw the events into this SVG file
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Prints the selected events in the order in which they happened.
pub fn run(command: &TimelineCommand) -> eyre::Result<()> {
    eyre::ensure!(
        !command.files.is_empty(),
        "give at least one file of events"
    );
    let filter = EventFilter {
        request: command.request.clone(),
        model: command.model.clone(),
        upstream: command.upstream.clone(),
    };
    let timeline = MergedTimeline::read(&command.files)?.select(&filter);
    print!("{timeline}");
    if let Some(path) = &command.svg {
        picture::draw(&timeline, path)?;
        println!("drawing written to {}", path.display());
    }
    Ok(())
}
