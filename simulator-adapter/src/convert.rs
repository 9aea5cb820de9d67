//! Translates between the simulator's JSON and the decision module's types.

pub(crate) mod action;
pub(crate) mod event;
pub(crate) mod settings;
