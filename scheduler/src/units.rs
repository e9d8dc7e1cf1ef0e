//! What the decision module's numbers mean. The aliases document a signature; they are plain `f64` so that callers need no
//! conversions, and every figure that enters a decision is checked once by [`crate::Settings::check`].

/// A time or a point in time on the host's own clock, in milliseconds. The clock never runs backwards.
pub type Millis = f64;

/// Units of work, as the platform counts a request's size.
pub type Units = f64;

/// Units of work a second.
pub type UnitsPerSecond = f64;

/// What a request earns: its class's worth times its plan's price.
pub type Value = f64;
