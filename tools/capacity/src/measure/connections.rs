//! Connections between routers and agents: memory of both ends, and the cost of a probe.

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_protocol::{FetchConfigRequest, SharedAsk, peer_client::PeerClient};
use celerystair_trial::threads::RoleThread;

use super::Measured;
use crate::{
    relay::Relay,
    usage::{live_bytes, thread_cpu_ms},
    world::{
        Platform, ROUTER_THREAD, WATCH_TIMEOUT_MS, WATCHING_DOMAIN, base_settings, start_router,
    },
};

const CONNECTIONS: [u32; 4] = [50, 100, 200, 400];
const CALLS: [u32; 4] = [500, 1000, 2000, 4000];
const CLIENT_THREAD: &str = "m-client";
const IDLE_MS: u64 = 3000;

/// Measures all sizes.
pub async fn measure() -> eyre::Result<Vec<Measured>> {
    let settings = base_settings()?;
    let platform = Platform::start(&settings).await?;
    let server = start_router(
        &settings,
        1,
        &platform.url(),
        WATCH_TIMEOUT_MS,
        WATCHING_DOMAIN,
    )
    .await?;
    let address = server.peer_address;
    let (mut memory, mut open_cpu, mut idle_cpu) = (Vec::new(), Vec::new(), Vec::new());
    for count in CONNECTIONS {
        let before = (live_bytes(), thread_cpu_ms(ROUTER_THREAD));
        let (client, ()) = RoleThread::spawn(CLIENT_THREAD, &Stop::new(), move |_| async move {
            let mut open = Vec::new();
            for _ in 0..count {
                let connection = Connection::new(address);
                call(&connection, &mut SharedAsk::default()).await;
                open.push(connection);
            }
            // Kept open until the thread ends.
            std::mem::forget(open);
            Ok::<_, std::io::Error>(())
        })?;
        let size = f64::from(count);
        memory.push((size, live_bytes() - before.0));
        let server_cpu = thread_cpu_ms(ROUTER_THREAD) - before.1;
        open_cpu.push((size, server_cpu + thread_cpu_ms(CLIENT_THREAD)));
        let both = || thread_cpu_ms(ROUTER_THREAD) + thread_cpu_ms(CLIENT_THREAD);
        let idle_before = both();
        sleep_ms(IDLE_MS).await;
        idle_cpu.push((size, (both() - idle_before) * 1000.0 / IDLE_MS as f64));
        drop(client);
        // The server's ends are closed before the next size is measured.
        sleep_ms(500).await;
    }
    let relay = Relay::start(address)?;
    let address = relay.address;
    let (mut probe_cpu, mut probe_bytes) = (Vec::new(), Vec::new());
    for calls in CALLS {
        let before = (thread_cpu_ms(ROUTER_THREAD), relay.bytes());
        let (client, ()) = RoleThread::spawn(CLIENT_THREAD, &Stop::new(), move |_| async move {
            let connection = Connection::new(address);
            let mut known = SharedAsk::default();
            for _ in 0..calls {
                call(&connection, &mut known).await;
            }
            Ok::<_, std::io::Error>(())
        })?;
        let size = f64::from(calls);
        probe_cpu.push((size, thread_cpu_ms(ROUTER_THREAD) - before.0));
        probe_bytes.push((size, relay.bytes() - before.1));
        drop(client);
    }
    Ok(vec![
        Measured::new(
            "connection_memory",
            "connections",
            "memory of both ends, bytes",
            memory,
        ),
        Measured::new(
            "connection_cpu",
            "connections",
            "processor time of both ends to open, ms",
            open_cpu,
        ),
        Measured::new(
            "connection_idle_cpu",
            "connections",
            "processor time of both ends while idle, ms a second",
            idle_cpu,
        ),
        Measured::new(
            "call_cpu",
            "calls between processes",
            "processor time of the called, ms",
            probe_cpu,
        ),
        Measured::new(
            "call_bytes",
            "calls between processes",
            "bytes in both directions",
            probe_bytes,
        ),
    ])
}

/// Asks as processes ask one another each second. The answer is that there is nothing newer, as
/// it nearly always is.
async fn call(connection: &Connection, known: &mut SharedAsk) {
    let Ok(channel) = connection.channel().await else {
        return;
    };
    let origin = channel.origin();
    let request = FetchConfigRequest {
        revision: u64::MAX,
        shared: Some(known.clone()),
        ..FetchConfigRequest::default()
    };
    let mut client = PeerClient::with_origin(channel, origin);
    let Ok(reply) = client.fetch_config(request).await else {
        return;
    };
    if let Some(answer) = reply.into_inner().shared {
        known.life = answer.life;
        known.sequence = answer.sequence;
        known.digest = answer.digest;
    }
}
