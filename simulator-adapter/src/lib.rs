//! Hosts instances of the `limiter-core` decision module on the simulator's JSON wire: each line of input is a
//! batch of messages to the instances, each line of output the messages with which they answer it. The adapter
//! itself decides nothing.
//!
//! The program `limiter` takes its [`InstanceSettings`] from the same JSON.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod convert;
mod error;
mod hex;
mod host;
mod names;
mod serve;
mod wire;

pub use convert::settings::SettingsJsonError;
pub use error::AdapterError;
pub use names::{NameIndex, NameKind, UnknownName};
pub use serve::serve;
pub use wire::settings::{ClassSettings, InstanceSettings, ServiceSettings, SiteCapabilities};
