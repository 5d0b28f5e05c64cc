//! Not written yet.
