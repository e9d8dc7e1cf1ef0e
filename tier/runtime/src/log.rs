//! Logs on standard error, by `log` and `fern`.

use log::LevelFilter;
use std::time::Instant;

/// Starts the log of this process.
pub fn start(node: &str, role: &str, level: LevelFilter) {
    let begun = Instant::now();
    let name = format!("{node} {role}");
    let result = fern::Dispatch::new()
        .format(move |out, message, record| {
            let seconds = begun.elapsed().as_secs_f64();
            out.finish(format_args!("{seconds:.3} {} {name} {}: {message}", record.level(), record.target()))
        })
        .level(level)
        .chain(std::io::stderr())
        .apply();
    if result.is_err() {
        // A log was started before, as tests do; that one stays.
    }
}
