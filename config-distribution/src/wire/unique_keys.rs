//! JSON objects in which no key appears twice. `serde_json` alone would take the last of two values, which
//! may not be the one that the author sees.

use serde::de::{IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};
use std::fmt;

/// An object whose keys appear once each. The same holds for the object under its key `keys`, if there is
/// one.
pub(super) struct UniqueKeys(pub(super) Map<String, Value>);

impl<'de> Deserialize<'de> for UniqueKeys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(UniqueKeysVisitor)
    }
}

struct UniqueKeysVisitor;

impl<'de> Visitor<'de> for UniqueKeysVisitor {
    type Value = UniqueKeys;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<UniqueKeys, A::Error> {
        let mut map = Map::new();
        while let Some(key) = access.next_key::<String>()? {
            let value =
                if key == "keys" { access.next_value::<KeysValue>()?.into() } else { access.next_value()? };
            if map.contains_key(&key) {
                return Err(serde::de::Error::custom(format_args!("{key}: said twice")));
            }
            map.insert(key, value);
        }
        Ok(UniqueKeys(map))
    }
}

/// The value of `keys`. One that is not an object is decoded too, so that the error can name what was found.
enum KeysValue {
    Object(UniqueKeys),
    Other(Value),
}

impl From<KeysValue> for Value {
    fn from(value: KeysValue) -> Value {
        match value {
            KeysValue::Object(UniqueKeys(keys)) => Value::Object(keys),
            KeysValue::Other(other) => other,
        }
    }
}

impl<'de> Deserialize<'de> for KeysValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(KeysValueVisitor)
    }
}

struct KeysValueVisitor;

impl<'de> Visitor<'de> for KeysValueVisitor {
    type Value = KeysValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, access: A) -> Result<KeysValue, A::Error> {
        UniqueKeysVisitor.visit_map(access).map(KeysValue::Object)
    }

    /// Elements are skipped: the error says only that it is a list.
    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<KeysValue, A::Error> {
        while access.next_element::<IgnoredAny>()?.is_some() {}
        Ok(KeysValue::Other(Value::Array(Vec::new())))
    }

    fn visit_str<E>(self, text: &str) -> Result<KeysValue, E> {
        Ok(KeysValue::Other(text.into()))
    }

    fn visit_u64<E>(self, number: u64) -> Result<KeysValue, E> {
        Ok(KeysValue::Other(number.into()))
    }

    fn visit_i64<E>(self, number: i64) -> Result<KeysValue, E> {
        Ok(KeysValue::Other(number.into()))
    }

    fn visit_f64<E>(self, number: f64) -> Result<KeysValue, E> {
        Ok(KeysValue::Other(number.into()))
    }

    fn visit_bool<E>(self, truth: bool) -> Result<KeysValue, E> {
        Ok(KeysValue::Other(truth.into()))
    }

    fn visit_unit<E>(self) -> Result<KeysValue, E> {
        Ok(KeysValue::Other(Value::Null))
    }
}
