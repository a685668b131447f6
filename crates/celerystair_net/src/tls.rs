//! TLS between the system's own processes. Each shows a certificate of the system's own
//! authority and wants one of the other side, so that an agent takes orders from nobody else.
//! See `docs/SECURITY.md`.

use std::{
    cell::RefCell,
    io,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use compio::net::TcpStream;
use compio_tls::{TlsAcceptor, TlsConnector};
use cyper_core::HyperStream;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::{CryptoProvider, ring::default_provider},
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The name in the certificate of every process of the system. Instances come and go with
/// their addresses; what a certificate proves is that its holder belongs to the system.
pub const PEER_NAME: &str = "celerystair";

/// A peer that does not finish its handshake in this time is cut off.
const HANDSHAKE_TIMEOUT_MS: u64 = 2000;
const RELOAD_INTERVAL_MS: u64 = 10_000;

/// Where a process finds its certificate; files in PEM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The process's certificate for the name `celerystair`, with the chain to its authority.
    pub certificate_file: PathBuf,
    /// The certificate's key.
    pub key_file: PathBuf,
    /// Certificates of the authorities that sign those of the system's processes.
    pub authority_file: PathBuf,
}

/// Why certificates can't be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file can't be read as PEM.
    #[error("can't read {path}: {detail}")]
    Unreadable {
        /// The file.
        path: String,
        /// The reader's reason.
        detail: String,
    },
    /// Certificate, key and authority don't go together.
    #[error("the certificates can't be used: {detail}")]
    Unusable {
        /// The library's reason.
        detail: String,
    },
}

/// The identity that this process shows to others; cheap to clone within its thread.
#[derive(Clone)]
pub struct PeerTls {
    settings: Rc<TlsSettings>,
    configs: Rc<RefCell<Configs>>,
}

#[derive(Clone)]
struct Configs {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
}

thread_local! {
    /// A process has one identity; its connections to peers all use it.
    static PEER_TLS: RefCell<Option<PeerTls>> = const { RefCell::new(None) };
}

/// Lets the peer connections of this thread use TLS.
pub fn set_peer_tls(tls: PeerTls) {
    PEER_TLS.with(|current| *current.borrow_mut() = Some(tls));
}

fn peer_tls() -> Option<PeerTls> {
    PEER_TLS.with(|current| current.borrow().clone())
}

impl PeerTls {
    /// Reads the files.
    ///
    /// # Errors
    /// [`TlsError`] if one can't be read or they don't go together.
    pub fn load(settings: &TlsSettings) -> Result<Self, TlsError> {
        Ok(Self {
            configs: Rc::new(RefCell::new(read_configs(settings)?)),
            settings: Rc::new(settings.clone()),
        })
    }

    /// Reads the files anew; connections that are made from now on use what they hold.
    ///
    /// # Errors
    /// [`TlsError`], after which the earlier certificates stay in use.
    pub fn reload(&self) -> Result<(), TlsError> {
        let configs = read_configs(&self.settings)?;
        *self.configs.borrow_mut() = configs;
        Ok(())
    }

    /// Reads the files anew now and then until `stop` ends; `report` hears of each failure.
    pub async fn reload_periodically(self, stop: Stop, report: impl Fn(&TlsError)) {
        while !stop.is_ended() {
            sleep_ms(RELOAD_INTERVAL_MS).await;
            if let Err(error) = self.reload() {
                report(&error);
            }
        }
    }
}

fn read_configs(settings: &TlsSettings) -> Result<Configs, TlsError> {
    let provider = Arc::new(default_provider());
    let chain = read_certificates(&settings.certificate_file)?;
    let key =
        || PrivateKeyDer::from_pem_file(&settings.key_file).map_err(unreadable(&settings.key_file));
    let mut roots = RootCertStore::empty();
    for authority in read_certificates(&settings.authority_file)? {
        roots.add(authority).map_err(unusable)?;
    }
    let roots = Arc::new(roots);
    Ok(Configs {
        client: Arc::new(client_config(&provider, &roots, chain.clone(), key()?)?),
        server: Arc::new(server_config(&provider, &roots, chain, key()?)?),
    })
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig, TlsError> {
    ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable)?
        .with_root_certificates(roots.clone())
        .with_client_auth_cert(chain, key)
        .map_err(unusable)
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, TlsError> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(unusable)?;
    ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(unusable)
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_file_iter(path).map_err(unreadable(path))?;
    certificates
        .collect::<Result<Vec<_>, _>>()
        .map_err(unreadable(path))
}

fn unreadable<E: ToString>(path: &Path) -> impl Fn(E) -> TlsError {
    move |error| TlsError::Unreadable {
        path: path.display().to_string(),
        detail: error.to_string(),
    }
}

#[allow(clippy::needless_pass_by_value)]
fn unusable(error: impl ToString) -> TlsError {
    TlsError::Unusable {
        detail: error.to_string(),
    }
}

/// The stream to a process that has called, once its certificate is checked; plain where TLS
/// is off.
pub(crate) async fn accept_peer(stream: TcpStream) -> io::Result<HyperStream<TcpStream>> {
    let Some(tls) = peer_tls() else {
        return Ok(HyperStream::new_plain(stream));
    };
    let acceptor = TlsAcceptor::from(tls.configs.borrow().server.clone());
    let handshake = async { acceptor.accept(stream).await };
    before_deadline(handshake_deadline(), handshake)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
        .map(HyperStream::new_tls)
}

/// The stream to a process that was called, once its certificate is checked; plain where TLS
/// is off.
pub(crate) async fn connect_peer(stream: TcpStream) -> io::Result<HyperStream<TcpStream>> {
    let Some(tls) = peer_tls() else {
        return Ok(HyperStream::new_plain(stream));
    };
    let connector = TlsConnector::from(tls.configs.borrow().client.clone());
    let handshake = async { connector.connect(PEER_NAME, stream).await };
    before_deadline(handshake_deadline(), handshake)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
        .map(HyperStream::new_tls)
}

fn handshake_deadline() -> u64 {
    now_unix_ms() + HANDSHAKE_TIMEOUT_MS * celerystair_core::time::clock_scale()
}
