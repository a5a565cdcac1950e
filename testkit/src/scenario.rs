//! A run that changes everything while flows exchange data.
