//! Compares bytes or text with a golden file: what an earlier build wrote, byte for byte.
//!
//! A golden file is written only where none exists and [`WRITE_VARIABLE`] is set; no run overwrites one. A
//! missing file fails the test otherwise. Test files include this module by its path.

use std::fs;
use std::path::{Path, PathBuf};

/// The environment variable that lets a missing golden file be written.
const WRITE_VARIABLE: &str = "POINTCROSS_WRITE_GOLDEN";

/// Bytes of a binary file that are shown on either side of the first difference.
const CONTEXT_BYTES: usize = 40;

/// The golden file of this name in the package whose test includes this module.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Fails unless the golden file of this name has exactly these bytes; names the file and the first difference.
pub fn assert_golden(name: &str, actual: &(impl AsRef<[u8]> + ?Sized)) {
    let (path, actual) = (path(name), actual.as_ref());
    if !path.exists() && std::env::var_os(WRITE_VARIABLE).is_some() {
        fs::create_dir_all(path.parent().expect("a parent folder")).expect("the folder of golden files");
        fs::write(&path, actual).unwrap_or_else(|error| panic!("golden file {name}: {error}"));
    }
    let golden = fs::read(&path).unwrap_or_else(|error| {
        panic!("golden file {name}: {error} ({WRITE_VARIABLE}=1 writes a missing one)")
    });
    if golden != actual {
        panic!("golden file {name}: {}", first_difference(&golden, actual));
    }
}

/// Describes where two contents differ first: whole lines of text, and of other bytes those around the place.
fn first_difference(golden: &[u8], actual: &[u8]) -> String {
    let position = golden.iter().zip(actual).take_while(|(golden, actual)| golden == actual).count();
    let line = golden[..position].iter().filter(|byte| **byte == b'\n').count();
    let show = |content: &[u8]| match std::str::from_utf8(content) {
        Ok(text) => text.split('\n').nth(line).unwrap_or("(end of the text)").to_owned(),
        Err(_) => bytes_around(content, position),
    };
    let (golden_shown, actual_shown) = (show(golden), show(actual));
    let (golden_length, actual_length) = (golden.len(), actual.len());
    let line_number = line + 1;
    format!(
        "differs first at byte {position}, line {line_number}\n\
         golden ({golden_length} bytes): {golden_shown}\n\
         actual ({actual_length} bytes): {actual_shown}"
    )
}

fn bytes_around(content: &[u8], position: usize) -> String {
    let start = position.saturating_sub(CONTEXT_BYTES);
    let end = (position + CONTEXT_BYTES).min(content.len());
    format!("...{}", content[start..end].escape_ascii())
}
