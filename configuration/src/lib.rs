//! A changed configuration carried to every scheduler, and word of which version is in force where.
