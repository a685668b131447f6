//! Goodput weighted by kind at 0.5, 1, 2 and 4 times the capacity, with shedding and without:
//! `cargo run --release --example overload`.

use celerystair::{
    config::prelude::*,
    trial::{
        overload::{LoadKind, run_load},
        prelude::*,
    },
};

const SETTINGS: &str = include_str!("../tests/support/requests.jsonc");
const WORK_MS: u64 = 100;
const LENGTH_MS: u64 = 6000;
const TIMEOUT_MS: u64 = 1500;
const TIMES_CAPACITY: [f64; 4] = [0.5, 1.0, 2.0, 4.0];

fn kinds() -> Vec<LoadKind> {
    [
        ("office", "approval", 8, 10),
        ("office", "caption", 2, 30),
        ("hangang", "draft", 4, 20),
        ("hangang", "weighbridge", 1, 40),
    ]
    .map(|(organisation, kind, weight, percent)| LoadKind {
        organisation: organisation.into(),
        kind: kind.into(),
        weight,
        percent,
    })
    .to_vec()
}

fn settings(shedding: bool) -> Result<TrialSettings, SettingsError> {
    let mut settings: TrialSettings = read_settings("tests/support/requests.jsonc", SETTINGS)?;
    settings.pools[1].service.work_ms = WORK_MS;
    settings.config.defaults.shedding = shedding;
    settings.config.exceptions = kinds()
        .iter()
        .map(|kind| Exception {
            scope: Scope {
                kind: ScopeKind::Kind,
                name: kind.kind.to_string(),
            },
            field: "kind_weight".to_owned(),
            value: kind.weight.into(),
            reason: "counted so by its organisation".to_owned(),
            author: "overload".to_owned(),
            from_unix_ms: None,
            until_unix_ms: None,
        })
        .collect();
    Ok(settings)
}

fn main() -> eyre::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        for times in TIMES_CAPACITY {
            for shedding in [true, false] {
                measure(times, shedding).await?;
            }
        }
        Ok(())
    })
}

async fn measure(times: f64, shedding: bool) -> eyre::Result<()> {
    let settings = settings(shedding)?;
    let services = &settings.pools[1];
    let turns = f64::from(services.upstreams * services.running_max);
    let calls_per_second = times * turns * 1000.0 / WORK_MS as f64;
    let mut fleet = FaultFleet::start(&settings).await?;
    let routers = settings.routers as usize;
    let kinds = kinds();
    let load = run_load(
        &fleet,
        routers,
        &kinds,
        calls_per_second,
        LENGTH_MS,
        TIMEOUT_MS,
    );
    let mut goodput = load.await?;
    fleet.end();
    goodput.refused_ms.sort_unstable();
    let count = goodput.refused_ms.len();
    let refused_p50_ms = goodput
        .refused_ms
        .get(count / 2)
        .copied()
        .unwrap_or_default();
    let seconds = LENGTH_MS as f64 / 1000.0;
    println!(
        "{times} x capacity, shedding {}: offered {:.0} weight/s, goodput {:.0} weight/s; {count} refused, p50 after {refused_p50_ms} ms {:?}",
        if shedding { "on" } else { "off" },
        goodput.offered as f64 / seconds,
        goodput.answered as f64 / seconds,
        goodput.refused,
    );
    let mut by_kind: Vec<_> = goodput.by_kind.into_iter().collect();
    by_kind.sort();
    for (kind, (made, answered)) in by_kind {
        println!("    {kind}: {answered} of {made}");
    }
    Ok(())
}
