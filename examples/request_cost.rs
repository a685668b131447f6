//! What the router and the agent add to a call, against the stand-in of the service called
//! directly: `cargo run --release --example request_cost`.

use std::time::Instant;

use celerystair::{
    config::prelude::*,
    trial::{caller::CallTarget, prelude::*},
};
use hdrhistogram::Histogram;

const SETTINGS: &str = include_str!("../tests/support/requests.jsonc");
const CALLS: u64 = 3000;
const WARM_UP_CALLS: u64 = 300;

fn main() -> eyre::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        let mut settings: TrialSettings = read_settings("tests/support/requests.jsonc", SETTINGS)?;
        settings.pools[1].service.work_ms = 0;
        let mut fleet = FaultFleet::start(&settings).await?;
        let caller = Caller::new()?;
        let service = fleet.upstreams.iter().find(|u| u.pool.name == "services");
        let direct = service.ok_or_else(|| eyre::eyre!("no service"))?.address;
        let router = fleet.router_address(0);
        for (name, address, method, path) in [
            ("direct GET", direct, http::Method::GET, "/status"),
            (
                "routed GET",
                router,
                http::Method::GET,
                "/services/ledger/status",
            ),
            (
                "routed POST, journaled",
                router,
                http::Method::POST,
                "/services/ledger/entries",
            ),
        ] {
            let mut micros = Histogram::<u64>::new(3)?;
            let mut failed = 0_u64;
            for number in 0..WARM_UP_CALLS + CALLS {
                let call = Call {
                    router: address,
                    firm: "office".into(),
                    kind: "status".into(),
                    target: CallTarget::Service {
                        method: method.clone(),
                        path: path.to_owned(),
                        key: format!("k{number}"),
                    },
                    timeout_ms: 10_000,
                };
                let start = Instant::now();
                let received = caller.call(&call).await;
                let taken = start.elapsed().as_micros() as u64;
                if received.outcome != Outcome::Answered {
                    failed += 1;
                } else if number >= WARM_UP_CALLS {
                    micros.record(taken)?;
                }
            }
            println!(
                "{name}: p50 {} µs, p99 {} µs, {} calls, {failed} failed",
                micros.value_at_quantile(0.5),
                micros.value_at_quantile(0.99),
                micros.len()
            );
        }
        fleet.end();
        Ok(())
    })
}
