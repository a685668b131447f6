//! TLS between the system's own processes: who has no certificate of the system's authority
//! is not answered, and new certificates are taken up without a restart.

mod support;

use std::{net::SocketAddr, path::Path, path::PathBuf};

use celerystair::{
    config::prelude::*,
    core::prelude::*,
    net::{prelude::*, tls::set_peer_tls},
    node::prelude::*,
    protocol::{FetchConfigRequest, peer_client::PeerClient, peer_server::PeerServer},
    trial::threads::RoleThread,
};
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, KeyPair};
use support::{
    block_on,
    config::{Process, process_settings, start_platform},
};

/// A directory that goes with the test.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Self {
        let name = format!("celerystair-tls-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("a directory");
        Self(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

struct Authority {
    certificate: Certificate,
    key: KeyPair,
}

impl Authority {
    fn new() -> Self {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("a certificate");
        Self { certificate, key }
    }

    /// Writes the files of a process that this authority vouches for.
    fn write(&self, directory: &Path, process: &str) -> TlsSettings {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec!["celerystair".to_owned()]);
        let certificate = params
            .expect("parameters")
            .signed_by(&key, &self.certificate, &self.key)
            .expect("a certificate");
        let settings = TlsSettings {
            certificate_file: directory.join(format!("{process}.pem")),
            key_file: directory.join(format!("{process}.key")),
            authority_file: directory.join(format!("{process}.authority")),
        };
        let write = |path: &Path, text: String| std::fs::write(path, text).expect("written");
        write(&settings.certificate_file, certificate.pem());
        write(&settings.key_file, key.serialize_pem());
        write(&settings.authority_file, self.certificate.pem());
        settings
    }
}

/// A process with this identity on a thread of its own, which reads it anew all the time.
fn serve(tls: TlsSettings) -> (RoleThread, SocketAddr) {
    RoleThread::spawn("served", &Stop::new(), |stop| async move {
        let identity = PeerTls::load(&tls).map_err(std::io::Error::other)?;
        let mut settings = process_settings("http://127.0.0.1:1", Vec::new());
        settings.tls = Some(tls);
        let node = Node::start("agent", "served", &settings, &stop);
        let node = node.map_err(std::io::Error::other)?;
        set_peer_tls(identity.clone());
        compio::runtime::spawn(async move {
            loop {
                // Files that are half replaced are read again.
                identity.reload().ok();
                sleep_ms(5).await;
            }
        })
        .detach();
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let service = PeerServer::new(PeerService::new(&node));
        compio::runtime::spawn(serve_grpc(listener, stop, service)).detach();
        Ok::<_, std::io::Error>(address)
    })
    .expect("a process")
}

/// Whether a process with this identity, or none, is answered.
fn is_answered(address: SocketAddr, tls: Option<TlsSettings>) -> bool {
    let asking = std::thread::spawn(move || {
        block_on(async move {
            if let Some(tls) = tls {
                set_peer_tls(PeerTls::load(&tls).expect("certificates"));
            }
            let Ok(channel) = Connection::new(address).channel().await else {
                return false;
            };
            let origin = channel.origin();
            let request = FetchConfigRequest::default();
            let mut client = PeerClient::with_origin(channel, origin);
            client.fetch_config(request).await.is_ok()
        })
    });
    asking.join().expect("no panic")
}

#[test]
fn only_processes_of_the_system_are_answered() {
    let directory = Directory::new();
    let (own, other) = (Authority::new(), Authority::new());
    let (mut served, address) = serve(own.write(&directory.0, "served"));
    let member = own.write(&directory.0, "member");
    let mut stranger = other.write(&directory.0, "stranger");
    // The stranger trusts the system, so that only its own certificate speaks against it.
    stranger.authority_file.clone_from(&member.authority_file);
    assert!(is_answered(address, Some(member)));
    assert!(
        !is_answered(address, Some(stranger)),
        "a stranger was answered"
    );
    assert!(
        !is_answered(address, None),
        "a plain connection was answered"
    );
    served.stop.drain();
    served.end();
}

#[test]
fn new_certificates_are_taken_up_without_a_restart() {
    let directory = Directory::new();
    let (earlier, later) = (Authority::new(), Authority::new());
    let (mut served, address) = serve(earlier.write(&directory.0, "served"));
    assert!(is_answered(
        address,
        Some(earlier.write(&directory.0, "one"))
    ));
    later.write(&directory.0, "served");
    let renewed = later.write(&directory.0, "two");
    let deadline_unix_ms = now_unix_ms() + 60_000;
    while !is_answered(address, Some(renewed.clone())) {
        assert!(now_unix_ms() < deadline_unix_ms, "never taken up");
    }
    let outdated = earlier.write(&directory.0, "three");
    assert!(
        !is_answered(address, Some(outdated)),
        "the old authority is still trusted"
    );
    served.stop.drain();
    served.end();
}

#[test]
fn the_configuration_spreads_over_tls() {
    let directory = Directory::new();
    let authority = Authority::new();
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        set_peer_tls(PeerTls::load(&authority.write(&directory.0, "all")).expect("certificates"));
        let first = Process::start("first", &url, Vec::new());
        first.node.config.wait_until_known().await;
        let change = ChangeRequest {
            change_id: "c1".to_owned(),
            based_on: 0,
            author: "ada".to_owned(),
            reason: "a test".to_owned(),
            edits: vec![Edit::SetDefault {
                field: "queue_max".to_owned(),
                value: serde_json::json!(9),
            }],
        };
        let written = first.writer.write(change, now_unix_ms() + 60_000).await;
        let revision = written.expect("accepted").revision;
        // It can reach no store, and learns from its peer alone.
        let late = Process::start("late", "http://127.0.0.1:1", vec![first.address]);
        late.reaches(revision).await;
        first.end();
        late.end();
        stop.end();
    });
}

#[test]
fn peers_in_the_clear_are_for_loopback_only() {
    let text = r#"{"router": "r", "listen": "0.0.0.0:8080", "peer_listen": "10.0.0.1:8090",
        "process": {"failure_domain": "a", "platform": {"url": "http://10.0.0.2"}TLS}}"#;
    let plain = read_settings::<RouterSettings>("router", &text.replace("TLS", ""));
    let error = plain.expect_err("refused").to_string();
    assert!(error.contains("peer_listen"), "{error}");
    let tls = r#", "tls": {"certificate_file": "a", "key_file": "b", "authority_file": "c"}"#;
    read_settings::<RouterSettings>("router", &text.replace("TLS", tls)).expect("accepted");
}
