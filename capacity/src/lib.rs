//! What a fleet needs, worked out from measured slopes and stated targets.
