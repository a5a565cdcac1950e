//! The edge to the configuration service, which can only be read and watched.
