//! TLS on the three ports, and certificate changes while a node runs.

use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use bulrushhall_bench::{Testbed, TestbedOptions};
use bulrushhall_daemon::{
    Settings,
    settings::{LimitSettings, TlsSettings},
};
use bulrushhall_external::{
    CallError,
    http::{Endpoint, EndpointOptions, TLS_SERVER_NAME, Tls, TlsFiles},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const TIMEOUT: Duration = Duration::from_secs(10);

struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

impl Authority {
    fn new() -> Authority {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("a certificate").pem();
        Authority { issuer: Issuer::new(params, key), certificate }
    }

    fn sign(&self, files: &TlsFiles) {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec![TLS_SERVER_NAME.to_owned()]).expect("parameters");
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        fs::write(&files.key, key.serialize_pem()).expect("a written key");
        fs::write(&files.certificate, certificate.pem()).expect("a written certificate");
        fs::write(&files.authority, &self.certificate).expect("a written authority");
    }
}

struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Directory {
        let path = std::env::temp_dir().join(format!("bulrush-tls-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("a directory");
        Directory(path)
    }

    fn files(&self, name: &str) -> TlsFiles {
        TlsFiles {
            certificate: self.0.join(format!("{name}.crt")),
            key: self.0.join(format!("{name}.key")),
            authority: self.0.join(format!("{name}.authority")),
        }
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

async fn start_tls_nodes(files: &TlsFiles, nodes: usize) -> Testbed {
    let tls = TlsSettings {
        certificate: Some(files.certificate.clone()),
        key: Some(files.key.clone()),
        authority: Some(files.authority.clone()),
    };
    let limits =
        LimitSettings { drain: Duration::from_millis(200).into(), ..LimitSettings::default() };
    let settings = Settings { tls, limits, ..Settings::default() };
    let options = TestbedOptions { nodes, settings, ..TestbedOptions::default() };
    Testbed::start(options).await.expect("a testbed")
}

async fn get(address: SocketAddr, path: &str, tls: Option<Tls>) -> Result<StatusCode, CallError> {
    let options = EndpointOptions { tls: tls.map(Arc::new), ..EndpointOptions::default() };
    let req = Request::get(path).body(Full::new(Bytes::new())).expect("a request");
    Endpoint::new(address, options).send(req).await.map(|answer| answer.status())
}

fn load(files: &TlsFiles) -> Option<Tls> {
    Some(Tls::load(files.clone()).expect("certificates"))
}

#[tokio::test(flavor = "multi_thread")]
async fn tls_on_all_ports() {
    let directory = Directory::new("all");
    let (files, operator) = (directory.files("node"), directory.files("operator"));
    let authority = Authority::new();
    authority.sign(&files);
    authority.sign(&operator);
    let testbed = start_tls_nodes(&files, 2).await;

    let all_joined = async {
        while testbed.nodes.iter().any(|node| node.context().members.current().len() != 1) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, all_joined).await.expect("nodes that know each other");
    let node = &testbed.nodes[0];
    assert_eq!(get(node.callers(), "/v1/models", load(&operator)).await, Ok(StatusCode::OK));
    assert_eq!(get(node.operators(), "/readyz", load(&operator)).await, Ok(StatusCode::OK));
}

// An attacker on the network connects to the ports for peers and operators without TLS or with a
// certificate of another CA. If accepted, they could hand over requests or drain nodes.
#[rstest]
#[case::plain(false)]
#[case::other_authority(true)]
#[tokio::test(flavor = "multi_thread")]
async fn untrusted_clients_refused(#[case] with_certificate: bool) {
    let directory = Directory::new(if with_certificate { "other" } else { "plain" });
    let (files, attacker) = (directory.files("node"), directory.files("attacker"));
    Authority::new().sign(&files);
    Authority::new().sign(&attacker);
    // The attacker's client trusts the nodes' CA, so that only the nodes' own check can refuse it.
    fs::copy(&files.authority, &attacker.authority).expect("a copied authority");
    let testbed = start_tls_nodes(&files, 1).await;

    let node = &testbed.nodes[0];
    let peers = node.context().settings.node.peers;
    for address in [node.operators(), peers] {
        let tls = with_certificate.then(|| load(&attacker)).flatten();
        let answer = get(address, "/readyz", tls).await;
        assert!(answer.is_err(), "{address} answered {answer:?}");
    }
    assert!(!node.context().is_leaving());
}

// The operator replaces a certificate that is about to expire. A node that kept using the old one couldn't
// connect to the others after its expiry.
#[tokio::test(flavor = "multi_thread")]
async fn certificates_reloaded() {
    let directory = Directory::new("changed");
    let (files, operator) = (directory.files("node"), directory.files("operator"));
    Authority::new().sign(&files);
    let testbed = start_tls_nodes(&files, 1).await;
    let operators = testbed.nodes[0].operators();

    let second = Authority::new();
    second.sign(&operator);
    assert!(get(operators, "/readyz", load(&operator)).await.is_err());
    second.sign(&files);
    let reloaded = async {
        while get(operators, "/readyz", load(&operator)).await != Ok(StatusCode::OK) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TIMEOUT, reloaded).await.expect("the new certificates in use");
}

// The operator's tool crashes while it writes the new certificate. A node that loaded the partial file would
// refuse every connection.
#[tokio::test(flavor = "multi_thread")]
async fn partial_certificate_file() {
    let directory = Directory::new("half");
    let (files, operator) = (directory.files("node"), directory.files("operator"));
    let authority = Authority::new();
    authority.sign(&files);
    authority.sign(&operator);
    let tls = Tls::load(files.clone()).expect("certificates");
    fs::write(&files.certificate, "-----BEGIN CERTIFICATE-----\nMIIB").expect("a partial file");
    assert!(tls.reload().is_err());

    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serving = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        tls.accept(stream, bulrushhall_external::http::ClientAuth::Required).await.map(drop)
    });
    let stream = TcpStream::connect(address).await.expect("a connection");
    let client = load(&operator).expect("certificates");
    assert!(client.connect(stream).await.is_ok());
    assert!(serving.await.expect("a served connection").is_ok());
}

// A client opens connections and sends nothing. If handshakes ran sequentially, it would block all other
// clients.
#[tokio::test(flavor = "multi_thread")]
async fn silent_clients_do_not_block() {
    let directory = Directory::new("silent");
    let files = directory.files("node");
    Authority::new().sign(&files);
    let testbed = start_tls_nodes(&files, 1).await;
    let callers = testbed.nodes[0].callers();
    let mut silent = Vec::new();
    for _ in 0..20 {
        silent.push(TcpStream::connect(callers).await.expect("a connection"));
    }
    let answer = timeout(Duration::from_secs(2), get(callers, "/v1/models", load(&files))).await;
    assert_eq!(answer.expect("an answer in time"), Ok(StatusCode::OK));

    let mut plain = TcpStream::connect(callers).await.expect("a connection");
    plain.write_all(b"GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("a sent request");
    let mut answer = Vec::new();
    let _ = timeout(TIMEOUT, plain.read_to_end(&mut answer)).await.expect("a closed connection");
    assert!(!answer.starts_with(b"HTTP/1.1"), "{answer:?}");
}
