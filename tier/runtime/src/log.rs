//! Log lines on standard error: seconds since the start of the process, level, node and role, module,
//! message.

use log::LevelFilter;
use std::time::Instant;

/// Installs the process's logger. Does nothing where one is installed already, as where tests run several
/// processes in one.
pub fn start(node: &str, role: &str, level: LevelFilter) {
    let started = Instant::now();
    let name = format!("{node} {role}");
    let result = fern::Dispatch::new()
        .format(move |out, message, record| {
            let seconds = started.elapsed().as_secs_f64();
            out.finish(format_args!("{seconds:.3} {} {name} {}: {message}", record.level(), record.target()));
        })
        .level(level)
        .chain(std::io::stderr())
        .apply();
    if result.is_err() {
        // Only fails where a logger is installed, which then stays.
    }
}
