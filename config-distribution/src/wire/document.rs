//! A document's text: one JSON object with `fleet`, `version` and `keys`, and nothing else.

use super::error::DocumentError;
use super::name::{NAME_WANTED, faulty_name};
use super::unique_keys::UniqueKeys;
use crate::Document;
use serde_json::{Map, Value};

/// The longest text of a document where the operator's file sets no bound, in bytes. A changed plan takes a
/// few hundred, and 1,200 schedulers that ask at once must not fill a source's link for seconds.
pub const MAX_BYTES: usize = 256 * 1024;

const VERSION_WANTED: &str = "a whole number from 1 to 2^64-1";

/// Decodes a document's text. Its length is for the caller to check.
///
/// # Errors
/// [`DocumentError`], naming the key.
pub fn decode(text: &[u8]) -> Result<Document, DocumentError> {
    let UniqueKeys(mut map) =
        serde_json::from_slice(text).map_err(|error| DocumentError::Json(error.to_string()))?;
    let mut take = |key: &'static str| map.remove(key).ok_or(DocumentError::MissingKey(key));
    let (fleet, version, keys) = (take("fleet")?, take("version")?, take("keys")?);
    if let Some((key, _)) = map.into_iter().next() {
        return Err(DocumentError::UnknownKey(key));
    }
    Ok(Document { fleet: decode_fleet(fleet)?, version: decode_version(&version)?, keys: decode_keys(keys)? })
}

fn decode_fleet(value: Value) -> Result<String, DocumentError> {
    let invalid = |found| DocumentError::InvalidValue { key: "fleet", found, wanted: NAME_WANTED };
    match value {
        Value::String(fleet) => match faulty_name(&fleet) {
            None => Ok(fleet),
            Some(found) => Err(invalid(found)),
        },
        other => Err(invalid(describe(&other))),
    }
}

fn decode_version(value: &Value) -> Result<u64, DocumentError> {
    let invalid =
        || DocumentError::InvalidValue { key: "version", found: describe(value), wanted: VERSION_WANTED };
    value.as_u64().filter(|&version| version > 0).ok_or_else(invalid)
}

fn decode_keys(value: Value) -> Result<Map<String, Value>, DocumentError> {
    match value {
        Value::Object(keys) => Ok(keys),
        other => {
            Err(DocumentError::InvalidValue { key: "keys", found: describe(&other), wanted: "an object" })
        }
    }
}

/// A value as an error names it: lists and objects by their kind only, as they may be long.
fn describe(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Array(_) => "a list".into(),
        Value::Object(_) => "an object".into(),
        simple => simple.to_string(),
    }
}

/// Encodes a document.
pub fn encode(document: &Document) -> String {
    let keys = Value::Object(document.keys.clone());
    let fleet = Value::String(document.fleet.clone());
    format!(r#"{{"fleet":{fleet},"version":{},"keys":{keys}}}"#, document.version)
}
