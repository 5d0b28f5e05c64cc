//! Backend servers with fixed addresses.

use std::{error, fmt, net::SocketAddr, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::name::{VmName, ZoneName};

/// A `BackendAddress` is a backend server with a fixed address, written `vm@zone@address`.
#[derive(Clone, Debug, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct BackendAddress {
    /// The VM that the backend server runs on.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The address that the backend server listens on.
    pub address: SocketAddr,
}

/// A `BackendAddressError` is returned for text that is not of the form `vm@zone@address`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendAddressError {
    text: String,
}

impl fmt::Display for BackendAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}@{}", self.vm, self.zone, self.address)
    }
}

impl FromStr for BackendAddress {
    type Err = BackendAddressError;

    fn from_str(text: &str) -> Result<BackendAddress, BackendAddressError> {
        let malformed = || BackendAddressError { text: text.to_owned() };
        let mut parts = text.trim().splitn(3, '@');
        let (Some(vm), Some(zone), Some(address)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(malformed());
        };
        Ok(BackendAddress {
            vm: VmName::new(vm).map_err(|_| malformed())?,
            zone: ZoneName::new(zone).map_err(|_| malformed())?,
            address: address.parse().map_err(|_| malformed())?,
        })
    }
}

impl fmt::Display for BackendAddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed backend server {:?}, expected vm@zone@address", self.text)
    }
}

impl error::Error for BackendAddressError {}
