//! The API that the command-line tool and joining members use.
