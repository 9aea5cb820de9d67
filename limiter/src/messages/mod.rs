//! The messages that the front end, the engine and the upstream exchange: requests, responses, attempts and
//! bodies.

pub mod attempt;
pub mod body;
pub mod request;
