//! `celerystair timeline`.

use std::path::PathBuf;

use argh::FromArgs;
use celerystair::telemetry::{
    picture,
    story::{EventFilter, MergedTimeline},
};

/// Merges the events of processes, prints those of one request, model or upstream, and draws them.
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineCommand {
    /// files of events, one JSON object a line
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// only this request, and what happened meanwhile to its model on its upstreams
    #[argh(option, default = "String::new()")]
    request: String,
    /// only this model, with its adapters
    #[argh(option, default = "String::new()")]
    model: String,
    /// only this upstream
    #[argh(option, default = "String::new()")]
    upstream: String,
    /// draw the events into this file
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Prints the events, in the order in which they happened.
pub fn run(command: &TimelineCommand) -> eyre::Result<()> {
    eyre::ensure!(!command.files.is_empty(), "name the files of events");
    let filter = EventFilter {
        request: command.request.clone(),
        model: command.model.clone(),
        upstream: command.upstream.clone(),
    };
    let timeline = MergedTimeline::read(&command.files)?.select(&filter);
    print!("{timeline}");
    if let Some(path) = &command.svg {
        picture::draw(&timeline, path)?;
        println!("drawn into {}", path.display());
    }
    Ok(())
}
