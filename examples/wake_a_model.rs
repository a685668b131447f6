//! Wakes a model by one streamed request in a system that runs in this process, and prints how
//! long the cold start took: `cargo run --example wake_a_model`.

use celerystair::{
    config::prelude::*,
    core::time::set_clock_scale,
    trial::{caller::CallTarget, prelude::*},
};

const HANGANG: &str = include_str!("hangang/trial.jsonc");

fn main() -> eyre::Result<()> {
    let settings: TrialSettings = read_settings("examples/hangang/trial.jsonc", HANGANG)?;
    set_clock_scale(settings.clock_scale);
    compio::runtime::Runtime::new()?.block_on(async {
        let mut fleet = Fleet::start(&settings).await?;
        let call = Call {
            router: fleet.router_addresses[0],
            organisation: settings.organisation.clone(),
            kind: "draft".into(),
            target: CallTarget::Completion {
                model: "draft-1:a1".to_owned(),
                tokens: 8,
                stream: true,
                marker: "landfill".to_owned(),
            },
            timeout_ms: settings.workload.timeout_ms,
        };
        let received = Caller::new()?.call(&call).await;
        println!(
            "{:?} after a cold start of {} ms",
            received.outcome, received.cold_start_ms
        );
        fleet.end();
        Ok(())
    })
}
