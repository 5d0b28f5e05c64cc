//! The keys of a settings type, obtained from its serde implementation.

use serde::{
    Deserializer,
    de::{DeserializeOwned, Visitor, value::Error},
    forward_to_deserialize_any,
};

struct Probe<'a> {
    found: &'a mut &'static [&'static str],
}

/// Returns the keys of a settings type.
pub fn fields_of<T: DeserializeOwned>() -> &'static [&'static str] {
    let mut found: &'static [&'static str] = &[];
    // The probe always returns an error, after the type has passed its fields to it.
    let _ = T::deserialize(Probe { found: &mut found });
    found
}

impl<'de> Deserializer<'de> for Probe<'_> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, _visitor: V) -> Result<V::Value, Error> {
        Err(serde::de::Error::custom("only structs have fields"))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        _visitor: V,
    ) -> Result<V::Value, Error> {
        *self.found = fields;
        Err(serde::de::Error::custom("the fields are found"))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option
        unit unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}
