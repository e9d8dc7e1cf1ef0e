//! The rule for names of fleets and schedulers.

/// The longest name of a fleet or a scheduler, in bytes: it stands in each request and in the source's table.
pub const MAX_NAME: usize = 128;

/// What a valid name is, for error texts.
pub const NAME_WANTED: &str = "a name of 1 to 128 bytes without control characters";

/// What is wrong with a name of a fleet or a scheduler; `None` where it is valid.
pub fn faulty_name(name: &str) -> Option<String> {
    match name.len() {
        0 => Some("empty".into()),
        length if length > MAX_NAME => Some(format!("{length} bytes long")),
        _ => name.chars().any(char::is_control).then(|| format!("{name:?} holds a control character")),
    }
}
