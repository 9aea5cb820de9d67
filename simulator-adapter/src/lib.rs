//! Hosts many instances of `limiter-core` behind the simulator's JSON protocol. Each line of input is a batch
//! of messages to the instances; each line of output is the batch of their replies. The adapter makes no
//! decisions.
//!
//! The entry point is [`serve()`], the loop over lines. `host` owns the instances and delivers messages to
//! them, `wire` declares the JSON messages, and `convert` translates between these and the types of
//! `limiter-core`.
//!
//! The program `limiter` reads its [`InstanceSettings`] from the same JSON form.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod convert;
mod error;
mod hex;
mod host;
mod names;
mod serve;
mod wire;

pub use convert::settings::{CoreSettings, SettingsJsonError};
pub use error::AdapterError;
pub use names::{NameIndex, NameKind, UnknownName};
pub use serve::serve;
pub use wire::settings::{ClassSettings, InstanceSettings, ServiceSettings, SiteCapabilities};
