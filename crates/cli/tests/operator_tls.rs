//! The operators' commands against nodes that require mutual TLS on their operators' ports.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use bulrushhall_bench::{Testbed, TestbedOptions};
use bulrushhall_daemon::{Settings, settings::TlsSettings};
use bulrushhall_external::http::TLS_SERVER_NAME;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

struct TlsDirectory {
    directory: PathBuf,
}

impl TlsDirectory {
    fn with_own_authority(name: &str) -> TlsDirectory {
        let process = std::process::id();
        let directory = std::env::temp_dir().join(format!("bulrush-operator-{process}-{name}"));
        fs::create_dir_all(&directory).expect("a directory");
        let files = TlsDirectory { directory };
        let authority_key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let authority = params.self_signed(&authority_key).expect("a certificate");
        let issuer = Issuer::new(params, authority_key);
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec![TLS_SERVER_NAME.to_owned()]).expect("parameters");
        let certificate = params.signed_by(&key, &issuer).expect("a certificate");
        fs::write(files.path("authority"), authority.pem()).expect("a file");
        fs::write(files.path("certificate"), certificate.pem()).expect("a file");
        fs::write(files.path("key"), key.serialize_pem()).expect("a file");
        files
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }
}

impl Drop for TlsDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn bulrush(args: &[&str], node: &str, files: Option<&Path>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrush"));
    command.args(args).env("BULRUSH_NODES", node);
    if let Some(directory) = files {
        command.env("BULRUSH_CERTIFICATE", directory.join("certificate"));
        command.env("BULRUSH_KEY", directory.join("key"));
        command.env("BULRUSH_AUTHORITY", directory.join("authority"));
    }
    command.output().expect("the tool")
}

#[tokio::test(flavor = "multi_thread")]
async fn mutual_tls() {
    let (files, foreign) =
        (TlsDirectory::with_own_authority("own"), TlsDirectory::with_own_authority("foreign"));
    let tls = TlsSettings {
        certificate: Some(files.path("certificate")),
        key: Some(files.path("key")),
        authority: Some(files.path("authority")),
    };
    let settings = Settings { tls, ..Settings::default() };
    let options = TestbedOptions { settings, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let node = testbed.nodes[0].operators().to_string();

    let without_tls = bulrush(&["status"], &node, None);
    assert_eq!(without_tls.status.code(), Some(5), "{without_tls:?}");
    let untrusted = bulrush(&["status"], &node, Some(&foreign.directory));
    assert_eq!(untrusted.status.code(), Some(5), "{untrusted:?}");
    let missing_files = bulrush(&["status"], &node, Some(Path::new("/nonexistent")));
    assert_eq!(missing_files.status.code(), Some(1), "{missing_files:?}");
    assert!(!testbed.nodes[0].context().is_leaving());

    let shown = bulrush(&["status"], &node, Some(&files.directory));
    assert!(shown.status.success(), "{shown:?}");
    let drained = bulrush(&["drain", "entry-0"], &node, Some(&files.directory));
    assert!(drained.status.success(), "{drained:?}");
    assert!(testbed.nodes[0].context().is_leaving());
}
