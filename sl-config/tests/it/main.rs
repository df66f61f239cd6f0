//! Tests of sl-config.

mod examples;
mod seeds;
mod settings;
mod template;
