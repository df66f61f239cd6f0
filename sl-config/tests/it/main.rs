//! Tests of sl-config.

mod accept;
mod assemble;
mod examples;
mod platform;
mod seeds;
mod settings;
mod template;
