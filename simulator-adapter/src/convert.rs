//! Translates between the messages of the wire and the types of `limiter-core`.

pub(crate) mod action;
pub(crate) mod event;
pub(crate) mod settings;
