//! TLS for accepted and opened connections, with certificates that can be reloaded.

use std::{
    error, fmt, io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    server::WebPkiClientVerifier,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::timeout,
};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// The name in the certificates of nodes and operators; their addresses change too often for
/// certificates.
pub const TLS_SERVER_NAME: &str = "bulrush-node";
/// The time limit for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// A `Connection` is an open connection, with or without TLS.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> Connection for T {}

/// A `ClientAuth` states whether the clients of a port need a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAuth {
    /// Clients need no certificate.
    Disabled,
    /// Clients need a certificate signed by the authority.
    Required,
}

/// `TlsFiles` are the PEM files with the certificates and the private key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate chain of this process.
    pub certificate: PathBuf,
    /// The private key of this process.
    pub key: PathBuf,
    /// The certificates of the authority that signs the certificates of nodes and operators.
    pub authority: PathBuf,
}

/// A `Tls` is a TLS configuration whose certificates can be reloaded while connections are open.
pub struct Tls {
    files: TlsFiles,
    current: ArcSwap<Loaded>,
}

/// A `TlsError` states why certificates cannot be used.
#[derive(Debug)]
pub enum TlsError {
    /// A file could not be read or is not PEM.
    File(PathBuf, String),
    /// The certificate, key and authority are invalid or do not match.
    Invalid(String),
}

struct Loaded {
    no_auth_server: Arc<ServerConfig>,
    client_auth_server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

impl Tls {
    /// Returns the TLS configuration loaded from files.
    pub fn load(files: TlsFiles) -> Result<Tls, TlsError> {
        let current = ArcSwap::from_pointee(Loaded::read(&files)?);
        Ok(Tls { files, current })
    }

    /// Returns the files.
    pub fn files(&self) -> &TlsFiles {
        &self.files
    }

    /// Reloads the files for new connections.
    ///
    /// After an error the certificates in use stay in use: a partly written file must not close a
    /// port.
    pub fn reload(&self) -> Result<(), TlsError> {
        let loaded = Loaded::read(&self.files)?;
        self.current.store(Arc::new(loaded));
        Ok(())
    }

    /// Runs the handshake on an accepted connection.
    pub async fn accept(
        &self,
        stream: impl Connection,
        client_auth: ClientAuth,
    ) -> io::Result<Box<dyn Connection>> {
        let loaded = self.current.load_full();
        let cfg = match client_auth {
            ClientAuth::Disabled => &loaded.no_auth_server,
            ClientAuth::Required => &loaded.client_auth_server,
        };
        let handshake = TlsAcceptor::from(Arc::clone(cfg)).accept(stream);
        Ok(Box::new(timeout(HANDSHAKE_TIMEOUT, handshake).await??))
    }

    /// Runs the handshake on a connection opened to a node.
    pub async fn connect(&self, stream: impl Connection) -> io::Result<Box<dyn Connection>> {
        let connector = TlsConnector::from(Arc::clone(&self.current.load().client));
        let name = ServerName::try_from(TLS_SERVER_NAME).map_err(io::Error::other)?;
        Ok(Box::new(timeout(HANDSHAKE_TIMEOUT, connector.connect(name, stream)).await??))
    }
}

impl Loaded {
    fn read(files: &TlsFiles) -> Result<Loaded, TlsError> {
        let chain = read_certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|error| TlsError::File(files.key.clone(), error.to_string()))?;
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&files.authority)? {
            roots.add(certificate).map_err(invalid)?;
        }
        let roots = Arc::new(roots);
        let verifier =
            WebPkiClientVerifier::builder(Arc::clone(&roots)).build().map_err(invalid)?;
        let no_auth_server = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(invalid)?;
        let client_auth_server = ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(invalid)?;
        let client = ClientConfig::builder()
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(invalid)?;
        Ok(Loaded {
            no_auth_server: Arc::new(no_auth_server),
            client_auth_server: Arc::new(client_auth_server),
            client: Arc::new(client),
        })
    }
}

impl fmt::Debug for Tls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tls").field("files", &self.files).finish_non_exhaustive()
    }
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsError::File(file, cause) => write!(f, "{}: {cause}", file.display()),
            TlsError::Invalid(cause) => write!(f, "the certificates cannot be used: {cause}"),
        }
    }
}

impl error::Error for TlsError {}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let failed =
        |error: rustls::pki_types::pem::Error| TlsError::File(file.to_owned(), error.to_string());
    let certificates = CertificateDer::pem_file_iter(file).map_err(failed)?;
    let certificates: Vec<_> = certificates.collect::<Result<_, _>>().map_err(failed)?;
    if certificates.is_empty() {
        return Err(TlsError::File(file.to_owned(), "no certificate in the file".to_owned()));
    }
    Ok(certificates)
}

fn invalid(error: impl fmt::Display) -> TlsError {
    TlsError::Invalid(error.to_string())
}
