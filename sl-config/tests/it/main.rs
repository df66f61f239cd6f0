//! Integration tests of the settings parser.

mod examples;
mod settings;
