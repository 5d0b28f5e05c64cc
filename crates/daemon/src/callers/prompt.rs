//! The prompt that the messages of a chat request make up.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
};

/// The error of a content that is neither text nor a list of parts.
const UNKNOWN_CONTENT: &str = "data did not match any variant of untagged enum Content";

/// A `Prompt` is the text of all messages. It is built while they are read, since a list of small messages would take many
/// times the memory of the body.
#[derive(Debug, Default)]
pub struct Prompt {
    /// The text.
    pub text: String,
    /// Whether there is any message.
    pub has_messages: bool,
}

impl<'de> Deserialize<'de> for Prompt {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Prompt, D::Error> {
        deserializer.deserialize_seq(Messages)
    }
}

struct Messages;

impl<'de> Visitor<'de> for Messages {
    type Value = Prompt;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Prompt, A::Error> {
        let mut prompt = Prompt::default();
        while let Some(message) = seq.next_element::<Message>()? {
            prompt.has_messages = true;
            prompt.text.push_str(&message.role);
            prompt.text.push_str(": ");
            prompt.text.push_str(&message.content.unwrap_or_default().0);
            prompt.text.push('\n');
        }
        Ok(prompt)
    }
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

/// The text of a message, or that of all its parts.
#[derive(Default)]
struct Content(String);

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Content, D::Error> {
        match deserializer.deserialize_any(AnyVisitor)? {
            Any::Text(text) | Any::Parts(text) => Ok(Content(text)),
            Any::Null | Any::Part(_) | Any::Other => Err(D::Error::custom(UNKNOWN_CONTENT)),
        }
    }
}

/// A JSON value that may be a content, a part of one, or the text of a part.
enum Any {
    Null,
    Text(String),
    /// The text of a list of parts.
    Parts(String),
    /// The text of an object, if it has any.
    Part(Option<String>),
    /// None of these.
    Other,
}

impl Any {
    fn into_part_text(self) -> Option<Option<String>> {
        match self {
            Any::Null => Some(None),
            Any::Text(text) => Some(Some(text)),
            Any::Parts(_) | Any::Part(_) | Any::Other => None,
        }
    }
}

impl<'de> Deserialize<'de> for Any {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Any, D::Error> {
        deserializer.deserialize_any(AnyVisitor)
    }
}

struct AnyVisitor;

impl<'de> Visitor<'de> for AnyVisitor {
    type Value = Any;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("text or a list of parts")
    }

    fn visit_unit<E: Error>(self) -> Result<Any, E> {
        Ok(Any::Null)
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<Any, E> {
        Ok(Any::Other)
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<Any, E> {
        Ok(Any::Other)
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<Any, E> {
        Ok(Any::Other)
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<Any, E> {
        Ok(Any::Other)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Any, E> {
        Ok(Any::Text(text.to_owned()))
    }

    fn visit_string<E: Error>(self, text: String) -> Result<Any, E> {
        Ok(Any::Text(text))
    }

    // What is no list of parts is read to its end all the same.
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Any, A::Error> {
        let mut parts = Some(String::new());
        while let Some(part) = seq.next_element::<Any>()? {
            match (&mut parts, part) {
                (Some(parts), Any::Part(text)) => parts.push_str(&text.unwrap_or_default()),
                (parts, _) => *parts = None,
            }
        }
        Ok(parts.map_or(Any::Other, Any::Parts))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Any, A::Error> {
        let mut text = None;
        let mut is_part = true;
        while let Some(key) = map.next_key::<Key>()? {
            if !matches!(key, Key::Text) {
                map.next_value::<IgnoredAny>()?;
                continue;
            }
            match map.next_value::<Any>()?.into_part_text() {
                Some(value) if text.is_none() => text = Some(value),
                _ => is_part = false,
            }
        }
        Ok(if is_part { Any::Part(text.flatten()) } else { Any::Other })
    }
}

/// The key of an entry of a part.
#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "lowercase")]
enum Key {
    Text,
    #[serde(other)]
    Other,
}
