//! The settings of a daemon: JSON with comments, strictly checked.
