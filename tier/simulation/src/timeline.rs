//! What happened, as text: a column for each process, a row for each event, with the virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

struct Row {
    at_ms: u128,
    column: String,
    text: String,
}

/// A timeline that many tasks write to.
#[derive(Clone)]
pub struct Timeline {
    begun: Instant,
    rows: Rc<RefCell<Vec<Row>>>,
}

/// Times are rounded to this many milliseconds: a timeline tells what happened, not how long a code path took.
const ROUNDED_TO_MS: u128 = 100;

impl Timeline {
    /// Begins now.
    pub fn new() -> Self {
        Timeline { begun: Instant::now(), rows: Rc::default() }
    }

    /// Something happened to this process.
    pub fn note(&self, column: &str, text: impl Into<String>) {
        let at_ms = self.begun.elapsed().as_millis() / ROUNDED_TO_MS * ROUNDED_TO_MS;
        self.rows.borrow_mut().push(Row { at_ms, column: column.to_owned(), text: text.into() });
    }
}

impl Default for Timeline {
    fn default() -> Self {
        Timeline::new()
    }
}

impl std::fmt::Display for Timeline {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let rows = self.rows.borrow();
        let mut widths: BTreeMap<&str, usize> = BTreeMap::new();
        for row in rows.iter() {
            let width = widths.entry(&row.column).or_insert(row.column.len());
            *width = (*width).max(row.text.len());
        }
        let mut line = format!("{:>7}", "ms");
        for (column, width) in &widths {
            line.push_str(&format!(" | {column:width$}"));
        }
        writeln!(formatter, "{}", line.trim_end())?;
        for row in rows.iter() {
            let mut line = format!("{:>7}", row.at_ms);
            for (column, width) in &widths {
                let text = if **column == row.column { row.text.as_str() } else { "" };
                line.push_str(&format!(" | {text:width$}"));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
