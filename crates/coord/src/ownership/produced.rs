//! What has to go on when a request changes its owner.

use bulrushhall_core::RequestId;
use bytes::Bytes;

use super::{
    machine::Action,
    message::Version,
    state::{Held, Owned},
};

/// A `Produced` is a request with the part of its response that has been produced.
#[derive(Clone, Debug)]
pub(super) struct Produced {
    /// The serialized request.
    pub(super) body: Bytes,
    /// The tokens.
    pub(super) tokens: Vec<String>,
    /// The software version of the engine that produced the first token.
    pub(super) origin: Option<String>,
}

impl Produced {
    /// Returns a request without tokens.
    pub(super) fn new(body: Bytes) -> Produced {
        Produced { body, tokens: Vec::new(), origin: None }
    }

    /// Returns what an owner has.
    pub(super) fn of(owned: &Owned) -> Produced {
        let Owned { body, tokens, origin, .. } = owned;
        Produced { body: body.clone(), tokens: tokens.clone(), origin: origin.clone() }
    }

    /// Returns what a holder has.
    pub(super) fn of_held(held: &Held) -> Produced {
        let Held { body, tokens, origin, .. } = held;
        Produced { body: body.clone(), tokens: tokens.clone(), origin: origin.clone() }
    }

    /// Returns the action that runs the request.
    pub(super) fn start(&self, id: RequestId, version: Version) -> Action {
        let Produced { body, tokens, origin } = self.clone();
        Action::Start { id, version, body, tokens, origin }
    }
}
