//! The text form of lists: items separated by commas, with optional space around them.

use std::{
    fmt::{Display, Write},
    str::FromStr,
};

use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};

/// A `CommaList` writes a list as items separated by commas.
pub struct CommaList;

impl<T: Display> SerializeAs<Vec<T>> for CommaList {
    fn serialize_as<S: Serializer>(items: &Vec<T>, serializer: S) -> Result<S::Ok, S::Error> {
        let mut text = String::new();
        for (index, item) in items.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            // Writing to a string cannot fail.
            let _ = write!(text, "{separator}{item}");
        }
        serializer.serialize_str(&text)
    }
}

impl<'de, T> DeserializeAs<'de, Vec<T>> for CommaList
where
    T: FromStr<Err: Display>,
{
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Vec<T>, D::Error> {
        let text = String::deserialize(deserializer)?;
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(D::Error::custom)).collect()
    }
}
