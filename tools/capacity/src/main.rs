//! Measures what each role costs over several sizes, fits lines, and writes the tables of
//! `docs/CAPACITY.md` between their markers: `cargo run --release -p capacity`. It takes a few
//! minutes, a few hundred tasks and well under a gigabyte.
//!
//! `cargo run --release -p capacity -- NAME` makes one measurement and prints it.
//!
//! | module | holds |
//! |---|---|
//! | [`fit`] | the line through the points |
//! | [`measure`] | the measurements |
//! | [`page`] | the tables |
//! | [`plan`] | the size that is planned for, and what it costs by the slopes |
//! | [`relay`] | counts bytes between a process and the platform |
//! | [`usage`] | processor time and memory |
//! | [`world`] | platform and routers for the measurements |

mod fit;
mod measure;
mod page;
mod plan;
mod relay;
mod usage;
mod world;

use measure::Measured;

const PAGE: &str = "docs/CAPACITY.md";
const MEASUREMENTS: [&str; 6] = [
    "state",
    "told",
    "changes",
    "connections",
    "requests",
    "wakeups",
];

fn main() -> eyre::Result<()> {
    let only = std::env::args().nth(1);
    if let Some(name) = &only
        && !MEASUREMENTS.contains(&name.as_str())
    {
        eyre::bail!("name one of {MEASUREMENTS:?}, or none for all");
    }
    compio::runtime::Runtime::new()?.block_on(async {
        let mut all = Vec::new();
        for name in MEASUREMENTS {
            if only.as_ref().is_none_or(|only| only == name) {
                println!("measuring: {name}");
                all.extend(run(name).await?);
            }
        }
        println!("{}", page::slopes(&all));
        if only.is_none() {
            page::write(PAGE, &all)?;
            println!("{PAGE} is written");
        }
        Ok(())
    })
}

async fn run(name: &str) -> eyre::Result<Vec<Measured>> {
    match name {
        "state" => measure::state::measure().await,
        "told" => measure::told::measure().await,
        "changes" => measure::changes::measure().await,
        "connections" => measure::connections::measure().await,
        "requests" => measure::requests::measure().await,
        _ => measure::wakeups::measure().await,
    }
}
