//! The node's certificates: read at the start and again whenever their files change.

use std::{path::PathBuf, sync::Arc, time::Duration};

use bulrushhall_core::Event;
use bulrushhall_external::http::{Tls, TlsFiles};
use error_stack::{Report, ResultExt};

use crate::{errors::NodeError, settings::TlsSettings};

/// The pause between two looks at the files.
const PAUSE: Duration = Duration::from_secs(1);

/// Returns the protection that the settings ask for, if any.
pub fn load(settings: &TlsSettings) -> Result<Option<Arc<Tls>>, Report<NodeError>> {
    let TlsSettings { certificate, key, authority } = settings.clone();
    let (Some(certificate), Some(key), Some(authority)) = (certificate, key, authority) else {
        return Ok(None);
    };
    let tls = Tls::load(TlsFiles { certificate, key, authority });
    Ok(Some(Arc::new(tls.change_context(NodeError::Certificates)?)))
}

/// Reads the files again and again and uses what has changed for new connections.
pub async fn follow(tls: Option<Arc<Tls>>) {
    let Some(tls) = tls else { return };
    let mut seen = contents(tls.files()).await;
    loop {
        tokio::time::sleep(PAUSE).await;
        let found = contents(tls.files()).await;
        if found == seen {
            continue;
        }
        seen = found;
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
    // Reading may block. Where the task that reads has failed, nothing is taken to have changed
    // until the next look.
    tokio::task::spawn_blocking(read).await.unwrap_or_default()
}
