//! Placeholder.
