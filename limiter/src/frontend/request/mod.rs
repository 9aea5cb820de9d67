//! Receives a request of a client, validates it, submits it to the engine and answers it.
//!
//! Modules, in the order in which to read them:
//!
//! | module | job |
//! | --- | --- |
//! | [`handler`] | the steps of a request, and the response to each invalid request |
//! | [`head`] | validates the head |
//! | [`path`] | the class and the customer that the path names |
//! | [`weight`] | the cost and the quota members that `X-Weight` declares |
//! | [`body`] | reads the body, up to a maximum length |

mod body;
mod handler;
mod head;
mod path;
mod weight;

pub(super) use handler::RequestHandler;
