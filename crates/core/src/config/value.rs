//! The serde deserializer for a value of an INI text.

use serde::{
    de::{
        IntoDeserializer, Visitor,
        value::{Error, StrDeserializer},
    },
    forward_to_deserialize_any,
};

/// An `IniValue` deserializes the text of one key; an option is `Some` if the key is present.
#[derive(Clone, Copy, Debug)]
pub struct IniValue<'a>(pub &'a str);

impl<'de> IntoDeserializer<'de, Error> for IniValue<'_> {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

impl<'de> serde::Deserializer<'de> for IniValue<'_> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_str(self.0)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_some(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let text: StrDeserializer<'_, Error> = self.0.into_deserializer();
        text.deserialize_enum(name, variants, visitor)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}
