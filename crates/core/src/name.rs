//! Names that operators assign, with one type for each kind of named thing.

use std::{cmp::Ordering, fmt, hash::Hash, marker::PhantomData, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::errors::{CoreError, Result};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A `Name` is a validated identifier of one kind of thing; cloning it is cheap.
///
/// It holds 1 to [`MAX_NAME_BYTES`] bytes out of `a-z A-Z 0-9 . _ -`, so it can be used in a
/// path, header, key or metric label without escaping.
pub struct Name<K> {
    text: Arc<str>,
    kind: PhantomData<fn() -> K>,
}

/// A `NameKind` is the kind of thing that a [`Name`] identifies.
pub trait NameKind {
    /// The word for the kind in error messages.
    const WORD: &'static str;
}

/// The kind of names of services.
pub enum ServiceKind {}
/// The kind of names of models.
pub enum ModelKind {}
/// The kind of names of teams.
pub enum TeamKind {}
/// The kind of names of request classes.
pub enum ClassKind {}
/// The kind of names of availability zones.
pub enum ZoneKind {}
/// The kind of names of nodes.
pub enum NodeKind {}
/// The kind of names of VMs.
pub enum VmKind {}
/// The kind of names of versions.
pub enum VersionKind {}
/// The kind of names of adapters.
pub enum AdapterKind {}
/// The kind of names of rollouts.
pub enum RolloutKind {}
/// The kind of names of VM classes.
pub enum VmClassKind {}
/// The kind of names of routes.
pub enum RouteKind {}

/// The name of a service.
pub type ServiceName = Name<ServiceKind>;
/// The name of a model.
pub type ModelName = Name<ModelKind>;
/// The name of a team.
pub type TeamName = Name<TeamKind>;
/// The name of a request class.
pub type ClassName = Name<ClassKind>;
/// The name of an availability zone.
pub type ZoneName = Name<ZoneKind>;
/// The name of a node; it stays the same over restarts of the process.
pub type NodeName = Name<NodeKind>;
/// The name of a VM, assigned by the cloud and never reused.
pub type VmName = Name<VmKind>;
/// The name of a version.
pub type VersionName = Name<VersionKind>;
/// The name of an adapter.
pub type AdapterName = Name<AdapterKind>;
/// The name of a rollout.
pub type RolloutName = Name<RolloutKind>;
/// The name of a VM class.
pub type VmClassName = Name<VmClassKind>;
/// The name of a route.
pub type RouteName = Name<RouteKind>;

impl NameKind for ServiceKind {
    const WORD: &'static str = "service";
}
impl NameKind for ModelKind {
    const WORD: &'static str = "model";
}
impl NameKind for TeamKind {
    const WORD: &'static str = "team";
}
impl NameKind for ClassKind {
    const WORD: &'static str = "class";
}
impl NameKind for ZoneKind {
    const WORD: &'static str = "availability zone";
}
impl NameKind for NodeKind {
    const WORD: &'static str = "node";
}
impl NameKind for VmKind {
    const WORD: &'static str = "VM";
}
impl NameKind for VersionKind {
    const WORD: &'static str = "version";
}
impl NameKind for AdapterKind {
    const WORD: &'static str = "adapter";
}
impl NameKind for RolloutKind {
    const WORD: &'static str = "rollout";
}
impl NameKind for VmClassKind {
    const WORD: &'static str = "VM class";
}
impl NameKind for RouteKind {
    const WORD: &'static str = "route";
}

impl<K: NameKind> Name<K> {
    /// Returns the name `text`, if it is valid.
    pub fn new(text: impl AsRef<str>) -> Result<Name<K>> {
        let text = text.as_ref();
        if text.is_empty() || MAX_NAME_BYTES < text.len() {
            return Err(CoreError::name(K::WORD, text));
        }
        if !text.bytes().all(is_name_byte) {
            return Err(CoreError::name(K::WORD, text));
        }
        Ok(Name { text: text.into(), kind: PhantomData })
    }
}

impl<K> Name<K> {
    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl<K> Clone for Name<K> {
    fn clone(&self) -> Self {
        Name { text: Arc::clone(&self.text), kind: PhantomData }
    }
}

impl<K> PartialEq for Name<K> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<K> Eq for Name<K> {}

impl<K> PartialOrd for Name<K> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<K> Ord for Name<K> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.text.cmp(&other.text)
    }
}

impl<K> Hash for Name<K> {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl<K> fmt::Display for Name<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl<K> fmt::Debug for Name<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.text)
    }
}

impl<K: NameKind> std::str::FromStr for Name<K> {
    type Err = CoreError;

    fn from_str(text: &str) -> Result<Self> {
        Name::new(text)
    }
}

impl<K> Serialize for Name<K> {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

impl<'de, K: NameKind> Deserialize<'de> for Name<K> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Name::new(&text).map_err(de::Error::custom)
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-')
}
