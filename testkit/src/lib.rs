//! Stand-ins for the systems around banyanwharf, for tests and examples.
