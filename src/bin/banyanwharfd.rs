//! The `banyanwharfd` program.

fn main() {}
