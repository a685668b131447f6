//! The network between failure domains, and from each to the platform, which a trial cuts.
//!
//! Connections of the system's own processes run through relays on the threads of those who
//! open them. Across a cut no connection opens, and what is sent on an open one stays on its way
//! until the cut is over, or the connection breaks with the first thing sent.

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

/// What becomes of connections that are open when the network is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutKind {
    /// Nothing comes through, and nobody is told.
    Silent,
    /// They are reset as soon as something is sent.
    Reset,
}

/// The network; shared by the threads of a trial.
#[derive(Clone, Default)]
pub struct Network {
    inner: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    domains: HashMap<SocketAddr, FailureDomain>,
    /// The failure domains on one side of the cut; none if there is no cut.
    cut_off: HashSet<FailureDomain>,
    kind: Option<CutKind>,
    without_platform: HashSet<FailureDomain>,
}

/// One way through the network.
#[derive(Clone)]
enum Route {
    Peer(FailureDomain, SocketAddr),
    Platform(FailureDomain),
}

impl Network {
    /// Notes in which failure domain the process at `address` is.
    pub fn place(&self, address: SocketAddr, domain: &str) {
        self.lock().domains.insert(address, domain.into());
    }

    /// Cuts these failure domains from all others, in place of any earlier cut.
    pub fn cut(&self, domains: &[&str], kind: CutKind) {
        let mut state = self.lock();
        state.cut_off = domains.iter().map(|domain| (*domain).into()).collect();
        state.kind = Some(kind);
    }

    /// Cuts these failure domains from the platform.
    pub fn cut_platform(&self, domains: &[&str]) {
        self.lock().without_platform = domains.iter().map(|domain| (*domain).into()).collect();
    }

    /// Ends every cut.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.cut_off.clear();
        state.without_platform.clear();
        state.kind = None;
    }

    /// Lets this thread's connections to peers start in `domain` and run through the network.
    pub fn dial_from(&self, domain: &FailureDomain) {
        let (network, domain) = (self.clone(), domain.clone());
        set_dialer(Rc::new(move |address| {
            let route = Route::Peer(domain.clone(), address);
            Box::pin(open(network.clone(), route, address))
        }));
    }

    /// Starts the way from `domain` to the platform; gives the platform's URL there.
    pub fn platform_from(
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
            compio::runtime::spawn(accept_all(network, route, listener, address)).detach();
            Ok::<_, FleetError>(relay)
        })?;
        Ok((thread, format!("http://{relay}")))
    }

    /// The cut across the route, if there is one.
    fn cut_across(&self, route: &Route) -> Option<CutKind> {
        let state = self.lock();
        match route {
            Route::Platform(from) => state
                .without_platform
                .contains(from)
                .then_some(CutKind::Silent),
            Route::Peer(from, to) => {
                let to = state.domains.get(to)?;
                let is_across = state.cut_off.contains(from) != state.cut_off.contains(to);
                state.kind.filter(|_| is_across)
            }
        }
    }

    /// Returns once nothing cuts the route; whoever opens a connection gives up before.
    async fn open_for(&self, route: &Route) {
        while self.cut_across(route).is_some() {
            sleep_ms(POLL_INTERVAL_MS).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to `address` through a relay.
async fn open(network: Network, route: Route, address: SocketAddr) -> io::Result<TcpStream> {
    network.open_for(&route).await;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let far = TcpStream::connect(address).await?;
    let (own, accepted) = join(
        TcpStream::connect(listener.local_addr()?),
        listener.accept(),
    )
    .await;
    let (near, _) = accepted?;
    compio::runtime::spawn(relay(network, route, near, far)).detach();
    own
}

async fn accept_all(network: Network, route: Route, listener: TcpListener, address: SocketAddr) {
    while let Ok((near, _)) = listener.accept().await {
        let (network, route) = (network.clone(), route.clone());
        compio::runtime::spawn(async move {
            network.open_for(&route).await;
            if let Ok(far) = TcpStream::connect(address).await {
                relay(network, route, near, far).await;
            }
        })
        .detach();
    }
}

/// Passes both ways on what comes, until either side ends.
async fn relay(network: Network, route: Route, near: TcpStream, far: TcpStream) {
    for stream in [&near, &far] {
        stream.set_nodelay(true).ok();
    }
    let there = Box::pin(pass_on(&network, &route, &near, &far));
    let back = Box::pin(pass_on(&network, &route, &far, &near));
    select(there, back).await;
}

async fn pass_on(network: &Network, route: &Route, mut from: &TcpStream, mut to: &TcpStream) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let BufResult(read, filled) = from.read(buffer).await;
        // An end does not come through a cut either.
        if network.cut_across(route) == Some(CutKind::Reset) {
            return;
        }
        network.open_for(route).await;
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
