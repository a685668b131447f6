//! Mutual TLS between the system's own processes. Each side presents a certificate of the system's
//! own authority and requires one of the other side, so that an agent accepts requests from no
//! other client. See `docs/SECURITY.md`.

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

/// The DNS name in the certificate of every process. Instances and their addresses change, so a
/// certificate proves only that its holder belongs to the system.
pub const PEER_NAME: &str = "celerystair";

/// A peer that does not complete its handshake within this time is disconnected.
const HANDSHAKE_TIMEOUT_MS: u64 = 2000;
/// Time between reloads of the certificate files.
const RELOAD_INTERVAL_MS: u64 = 10_000;

/// Paths of a process's PEM files.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The process's certificate for the DNS name `celerystair`, followed by its chain.
    pub certificate_file: PathBuf,
    /// The private key of the certificate.
    pub key_file: PathBuf,
    /// Certificates of the authorities that sign the processes' certificates.
    pub authority_file: PathBuf,
}

/// Why the certificates could not be loaded.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file is missing or not valid PEM.
    #[error("failed to read {path}: {detail}")]
    Unreadable {
        /// The file.
        path: String,
        /// The text of the underlying error.
        detail: String,
    },
    /// The certificate, its key or the authorities are invalid or don't match.
    #[error("the certificates are unusable: {detail}")]
    Unusable {
        /// The text of the underlying error.
        detail: String,
    },
}

/// The TLS identity of this process. Clones share it, also after a reload.
#[derive(Clone)]
pub struct PeerTls {
    settings: Rc<TlsSettings>,
    configs: Rc<RefCell<TlsConfigs>>,
}

#[derive(Clone)]
struct TlsConfigs {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
}

thread_local! {
    /// The identity of all connections to and from peers; plain TCP if `None`.
    static PEER_TLS: RefCell<Option<PeerTls>> = const { RefCell::new(None) };
}

/// Enables TLS for this thread's connections to and from peers.
pub fn set_peer_tls(tls: PeerTls) {
    PEER_TLS.with(|current| *current.borrow_mut() = Some(tls));
}

fn peer_tls() -> Option<PeerTls> {
    PEER_TLS.with(|current| current.borrow().clone())
}

impl PeerTls {
    /// Loads the certificate files.
    ///
    /// # Errors
    /// [`TlsError`] if a file can't be read or the certificates are unusable.
    pub fn load(settings: &TlsSettings) -> Result<Self, TlsError> {
        Ok(Self {
            configs: Rc::new(RefCell::new(read_configs(settings)?)),
            settings: Rc::new(settings.clone()),
        })
    }

    /// Reloads the certificate files, for connections opened from now on.
    ///
    /// # Errors
    /// [`TlsError`]; the earlier certificates then stay in use.
    pub fn reload(&self) -> Result<(), TlsError> {
        let configs = read_configs(&self.settings)?;
        *self.configs.borrow_mut() = configs;
        Ok(())
    }

    /// Reloads the certificate files every 10 s until `stop` ends, and calls `on_error` for each
    /// failure.
    pub async fn reload_periodically(self, stop: Stop, on_error: impl Fn(&TlsError)) {
        while !stop.is_ended() {
            sleep_ms(RELOAD_INTERVAL_MS).await;
            if let Err(error) = self.reload() {
                on_error(&error);
            }
        }
    }
}

fn read_configs(settings: &TlsSettings) -> Result<TlsConfigs, TlsError> {
    let provider = Arc::new(default_provider());
    let chain = read_certificates(&settings.certificate_file)?;
    let key =
        || PrivateKeyDer::from_pem_file(&settings.key_file).map_err(unreadable(&settings.key_file));
    let mut roots = RootCertStore::empty();
    for authority in read_certificates(&settings.authority_file)? {
        roots.add(authority).map_err(unusable)?;
    }
    let roots = Arc::new(roots);
    Ok(TlsConfigs {
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

/// Performs the server's side of the TLS handshake and checks the client's certificate. Without
/// TLS, returns the stream as it is.
pub(crate) async fn accept_peer(stream: TcpStream) -> io::Result<HyperStream<TcpStream>> {
    let Some(tls) = peer_tls() else {
        return Ok(HyperStream::new_plain(stream));
    };
    let acceptor = TlsAcceptor::from(tls.configs.borrow().server.clone());
    let handshake = async { acceptor.accept(stream).await };
    before_deadline(handshake_deadline_unix_ms(), handshake)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
        .map(HyperStream::new_tls)
}

/// Performs the client's side of the TLS handshake and checks the server's certificate. Without
/// TLS, returns the stream as it is.
pub(crate) async fn connect_peer(stream: TcpStream) -> io::Result<HyperStream<TcpStream>> {
    let Some(tls) = peer_tls() else {
        return Ok(HyperStream::new_plain(stream));
    };
    let connector = TlsConnector::from(tls.configs.borrow().client.clone());
    let handshake = async { connector.connect(PEER_NAME, stream).await };
    before_deadline(handshake_deadline_unix_ms(), handshake)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
        .map(HyperStream::new_tls)
}

fn handshake_deadline_unix_ms() -> u64 {
    now_unix_ms() + HANDSHAKE_TIMEOUT_MS * celerystair_core::time::clock_scale()
}
