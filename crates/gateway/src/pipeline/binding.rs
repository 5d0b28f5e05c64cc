//! The software version at which a stream has to go on.

use bulrushhall_coord::streams::StreamOrigin;

use crate::{gateway::State, pipeline::placement::Placement};

/// A `Binding` is the version at which a stream has to go on: the events of two versions do not fit together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Binding {
    /// Any version: none of its events was passed on.
    #[default]
    Free,
    /// The version of the first event that was passed on.
    Bound(StreamOrigin),
    /// No version: it is not certain which one sent that event.
    Uncertain,
}

impl Binding {
    /// Returns the binding of a stream whose first event came from the server of a placement.
    pub fn of_first_event(state: &State, placement: &Placement) -> Binding {
        // The server may have started anew under its name, with another version, before it got the request.
        let known = state.backends.key_of(&placement.name);
        if known.is_some_and(|key| key != placement.key) {
            return Binding::Uncertain;
        }
        let (service, version) = (placement.service.clone(), placement.version.to_string());
        Binding::Bound(StreamOrigin { service, version })
    }

    /// Returns the origin of the stream, if it is bound to one.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        match self {
            Binding::Bound(origin) => Some(origin),
            Binding::Free | Binding::Uncertain => None,
        }
    }
}
