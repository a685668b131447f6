//! Simulated network between failure domains, and from each domain to the platform, which a trial
//! can partition.
//!
//! Connections between the system's own processes run through relays on the thread of the process
//! that connects. Across a partition, no new connection is established. Data sent on an established
//! connection is delayed until the partition heals or, with [`CutKind::Reset`], resets it.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use futures_util::future::{join, select};

use crate::{fleet::FleetError, threads::RoleThread};

const POLL_INTERVAL_MS: u64 = 5;
const BUFFER_BYTES: usize = 16 << 10;

/// What a partition does to established connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutKind {
    /// Data is delayed until the partition heals; neither end sees an error.
    Silent,
    /// A connection is closed as soon as data is sent on it.
    Reset,
}

/// Handle to the simulated network, which all threads of a trial share.
#[derive(Clone, Default)]
pub struct Network {
    inner: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Failure domain of each process, by the address of its peer listener.
    domains: HashMap<SocketAddr, FailureDomain>,
    /// The failure domains on one side of the partition; empty if there is none.
    isolated: HashSet<FailureDomain>,
    cut_kind: Option<CutKind>,
    /// The failure domains that cannot reach the platform.
    isolated_from_platform: HashSet<FailureDomain>,
}

/// Route of a connection: from a failure domain to a peer or to the platform.
#[derive(Clone)]
enum Route {
    Peer(FailureDomain, SocketAddr),
    Platform(FailureDomain),
}

impl Network {
    /// Sets the failure domain of the process at `address`.
    pub fn set_domain(&self, address: SocketAddr, domain: &str) {
        self.lock().domains.insert(address, domain.into());
    }

    /// Partitions these failure domains from all others; replaces any earlier such partition.
    pub fn cut(&self, domains: &[&str], kind: CutKind) {
        let mut state = self.lock();
        state.isolated = domains.iter().map(|domain| (*domain).into()).collect();
        state.cut_kind = Some(kind);
    }

    /// Partitions these failure domains from the platform.
    pub fn cut_platform(&self, domains: &[&str]) {
        self.lock().isolated_from_platform =
            domains.iter().map(|domain| (*domain).into()).collect();
    }

    /// Heals all partitions.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.isolated.clear();
        state.isolated_from_platform.clear();
        state.cut_kind = None;
    }

    /// Routes this thread's connections to peers through the simulated network, as coming from
    /// `domain`.
    pub fn route_connections_from(&self, domain: &FailureDomain) {
        let (network, domain) = (self.clone(), domain.clone());
        set_dialer(Rc::new(move |address| {
            let route = Route::Peer(domain.clone(), address);
            Box::pin(connect_through_relay(network.clone(), route, address))
        }));
    }

    /// Starts the relay between `domain` and the platform, and returns the URL at which `domain`
    /// reaches the platform.
    pub fn start_platform_relay(
        &self,
        domain: &FailureDomain,
        platform_url: &str,
    ) -> Result<(RoleThread, String), FleetError> {
        let address: SocketAddr = platform_url
            .trim_start_matches("http://")
            .parse()
            .map_err(io::Error::other)?;
        let (network, route) = (self.clone(), Route::Platform(domain.clone()));
        let name = format!("platform-from-{domain}");
        let (thread, relay) = RoleThread::spawn(&name, &Stop::new(), move |_| async move {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let relay = listener.local_addr()?;
            compio::runtime::spawn(accept_connections(network, route, listener, address)).detach();
            Ok::<_, FleetError>(relay)
        })?;
        Ok((thread, format!("http://{relay}")))
    }

    /// Returns how the route is cut, or `None` if it is not.
    fn cut_across(&self, route: &Route) -> Option<CutKind> {
        let state = self.lock();
        match route {
            Route::Platform(from) => state
                .isolated_from_platform
                .contains(from)
                .then_some(CutKind::Silent),
            Route::Peer(from, to) => {
                let to = state.domains.get(to)?;
                let is_across = state.isolated.contains(from) != state.isolated.contains(to);
                state.cut_kind.filter(|_| is_across)
            }
        }
    }

    /// Waits until the route is not cut. Callers give up earlier, by their own connect timeouts.
    async fn wait_until_open(&self, route: &Route) {
        while self.cut_across(route).is_some() {
            sleep_ms(POLL_INTERVAL_MS).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects to `address` through a relay.
async fn connect_through_relay(
    network: Network,
    route: Route,
    address: SocketAddr,
) -> io::Result<TcpStream> {
    network.wait_until_open(&route).await;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let remote = TcpStream::connect(address).await?;
    let (own, accepted) = join(
        TcpStream::connect(listener.local_addr()?),
        listener.accept(),
    )
    .await;
    let (local, _) = accepted?;
    compio::runtime::spawn(relay(network, route, local, remote)).detach();
    own
}

async fn accept_connections(
    network: Network,
    route: Route,
    listener: TcpListener,
    address: SocketAddr,
) {
    while let Ok((local, _)) = listener.accept().await {
        let (network, route) = (network.clone(), route.clone());
        compio::runtime::spawn(async move {
            network.wait_until_open(&route).await;
            if let Ok(remote) = TcpStream::connect(address).await {
                relay(network, route, local, remote).await;
            }
        })
        .detach();
    }
}

/// Forwards data in both directions, until one side closes.
async fn relay(network: Network, route: Route, local: TcpStream, remote: TcpStream) {
    for stream in [&local, &remote] {
        stream.set_nodelay(true).ok();
    }
    let outbound = Box::pin(forward(&network, &route, &local, &remote));
    let inbound = Box::pin(forward(&network, &route, &remote, &local));
    select(outbound, inbound).await;
}

async fn forward(network: &Network, route: &Route, mut from: &TcpStream, mut to: &TcpStream) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let BufResult(read, filled) = from.read(buffer).await;
        // A close is not visible across a partition either.
        if network.cut_across(route) == Some(CutKind::Reset) {
            return;
        }
        network.wait_until_open(route).await;
        if !read.is_ok_and(|count| count > 0) {
            return;
        }
        let BufResult(written, mut written_from) = to.write_all(filled).await;
        if written.is_err() {
            return;
        }
        written_from.clear();
        buffer = written_from;
    }
}
