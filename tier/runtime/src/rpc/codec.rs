//! The bodies of frames: one CBOR value each (RFC 8949).

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value as CBOR.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a vector takes any value");
    bytes
}

/// Decodes a value from CBOR; `None` where the bytes are not a value of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
