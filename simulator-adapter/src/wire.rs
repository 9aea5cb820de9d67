//! The simulator's JSON as it is written. Its keys and values stand here alone; errors quote them.

pub(crate) mod action;
pub(crate) mod event;
pub(crate) mod settings;
