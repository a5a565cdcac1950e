//! The `banyanwharf` program.

fn main() {}
