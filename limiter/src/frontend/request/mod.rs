//! One request of a client: received, validated, submitted to the engine and answered.
//!
//! Modules, in the order in which to read them:
//!
//! | module | job |
//! | --- | --- |
//! | [`handler`] | the steps of a request, and how each rejection is answered |
//! | [`head`] | validates the head |
//! | [`path`] | the class and the customer that the path names |
//! | [`weight`] | the cost and the quota members that `X-Weight` names |
//! | [`body`] | reads the body, of bounded length |

mod body;
mod handler;
mod head;
mod path;
mod weight;

pub(super) use handler::RequestHandler;
