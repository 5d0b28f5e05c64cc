//! The node's certificates: loaded at the start and reloaded when their files change.

use std::{path::PathBuf, sync::Arc, time::Duration};

use bulrushhall_core::Event;
use bulrushhall_external::http::{Tls, TlsFiles};
use error_stack::{Report, ResultExt};

use crate::{errors::NodeError, settings::TlsSettings};

/// The poll interval of the files.
const PAUSE: Duration = Duration::from_secs(1);

/// Loads the TLS certificates if the settings name any.
pub fn load(settings: &TlsSettings) -> Result<Option<Arc<Tls>>, Report<NodeError>> {
    let TlsSettings { certificate, key, authority } = settings.clone();
    let (Some(certificate), Some(key), Some(authority)) = (certificate, key, authority) else {
        return Ok(None);
    };
    let tls = Tls::load(TlsFiles { certificate, key, authority });
    Ok(Some(Arc::new(tls.change_context(NodeError::Certificates)?)))
}

/// Polls the files and uses changed certificates for new connections.
pub async fn follow(tls: Option<Arc<Tls>>) {
    let Some(tls) = tls else { return };
    let mut previous = contents(tls.files()).await;
    loop {
        tokio::time::sleep(PAUSE).await;
        let current = contents(tls.files()).await;
        if current == previous {
            continue;
        }
        previous = current;
        match tls.reload() {
            Ok(()) => tracing::info!(event = Event::CertificatesChanged.number()),
            Err(error) => tracing::error!(event = Event::CertificatesRejected.number(), %error),
        }
    }
}

async fn contents(files: &TlsFiles) -> Vec<Option<Vec<u8>>> {
    let files: [PathBuf; 3] =
        [files.certificate.clone(), files.key.clone(), files.authority.clone()];
    let read = move || files.iter().map(|file| std::fs::read(file).ok()).collect();
    // Reading may block. A failed read task yields an empty list, which counts as a change: reloading
    // unchanged files does no harm.
    tokio::task::spawn_blocking(read).await.unwrap_or_default()
}
