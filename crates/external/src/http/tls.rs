//! TLS on connections that are accepted and opened, with certificates that may be changed.

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

/// The name that certificates of nodes and operators carry; addresses change too often for it.
pub const TLS_SERVER_NAME: &str = "bulrush-node";
/// The longest time that a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// A `Connection` is an open connection, protected or not.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> Connection for T {}

/// A `ClientAuth` selects whether the clients of a port need a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAuth {
    /// Clients need no certificate.
    Disabled,
    /// Clients need a certificate that the authority signed.
    Required,
}

/// `TlsFiles` are the files that certificates are read from, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The own certificate chain.
    pub certificate: PathBuf,
    /// The own private key.
    pub key: PathBuf,
    /// The certificates of the authority that signs nodes and operators.
    pub authority: PathBuf,
}

/// A `Tls` protects connections; its certificates can be read anew while they are open.
pub struct Tls {
    files: TlsFiles,
    current: ArcSwap<Loaded>,
}

/// A `TlsError` tells why certificates cannot be used.
#[derive(Debug)]
pub enum TlsError {
    /// A file could not be read or is not PEM.
    File(PathBuf, String),
    /// The certificate, key and authority do not fit together.
    Unfit(String),
}

struct Loaded {
    open_server: Arc<ServerConfig>,
    signed_server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

impl Tls {
    /// Returns the protection that the files stand for.
    pub fn load(files: TlsFiles) -> Result<Tls, TlsError> {
        let current = ArcSwap::from_pointee(Loaded::read(&files)?);
        Ok(Tls { files, current })
    }

    /// Returns the files.
    pub fn files(&self) -> &TlsFiles {
        &self.files
    }

    /// Reads the files anew; new connections use what is in them.
    ///
    /// After an error the certificates in use stay: a half-written file must not close a port.
    pub fn reload(&self) -> Result<(), TlsError> {
        let loaded = Loaded::read(&self.files)?;
        self.current.store(Arc::new(loaded));
        Ok(())
    }

    /// Takes a connection that was accepted.
    pub async fn accept(
        &self,
        stream: impl Connection,
        client_auth: ClientAuth,
    ) -> io::Result<Box<dyn Connection>> {
        let loaded = self.current.load_full();
        let cfg = match client_auth {
            ClientAuth::Disabled => &loaded.open_server,
            ClientAuth::Required => &loaded.signed_server,
        };
        let handshake = TlsAcceptor::from(Arc::clone(cfg)).accept(stream);
        Ok(Box::new(timeout(HANDSHAKE_TIMEOUT, handshake).await??))
    }

    /// Protects a connection that was opened to a node.
    pub async fn connect(&self, stream: impl Connection) -> io::Result<Box<dyn Connection>> {
        let connector = TlsConnector::from(Arc::clone(&self.current.load().client));
        let name = ServerName::try_from(TLS_SERVER_NAME).map_err(io::Error::other)?;
        Ok(Box::new(timeout(HANDSHAKE_TIMEOUT, connector.connect(name, stream)).await??))
    }
}

impl Loaded {
    fn read(files: &TlsFiles) -> Result<Loaded, TlsError> {
        let chain = certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|error| TlsError::File(files.key.clone(), error.to_string()))?;
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&files.authority)? {
            roots.add(certificate).map_err(unfit)?;
        }
        let roots = Arc::new(roots);
        let verifier = WebPkiClientVerifier::builder(Arc::clone(&roots)).build().map_err(unfit)?;
        let open_server = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(unfit)?;
        let signed_server = ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(unfit)?;
        let client = ClientConfig::builder()
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(unfit)?;
        Ok(Loaded {
            open_server: Arc::new(open_server),
            signed_server: Arc::new(signed_server),
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
            TlsError::Unfit(cause) => write!(f, "the certificates cannot be used: {cause}"),
        }
    }
}

impl error::Error for TlsError {}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let failed =
        |error: rustls::pki_types::pem::Error| TlsError::File(file.to_owned(), error.to_string());
    let certificates = CertificateDer::pem_file_iter(file).map_err(failed)?;
    let certificates: Vec<_> = certificates.collect::<Result<_, _>>().map_err(failed)?;
    if certificates.is_empty() {
        return Err(TlsError::File(file.to_owned(), "no certificate in it".to_owned()));
    }
    Ok(certificates)
}

fn unfit(error: impl fmt::Display) -> TlsError {
    TlsError::Unfit(error.to_string())
}
