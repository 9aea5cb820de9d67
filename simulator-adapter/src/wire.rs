//! The JSON messages of the simulator. Only these modules define the keys and values of the wire; error texts
//! quote them.

pub(crate) mod action;
pub(crate) mod event;
pub(crate) mod settings;
