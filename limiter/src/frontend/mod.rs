//! The HTTP server that clients connect to.
//!
//! Modules, in the order in which to read them; each one uses only those listed after it:
//!
//! | module | job |
//! | --- | --- |
//! | [`server`] | runs the accept loop, and the graceful shutdown after a signal |
//! | [`shutdown`] | the steps of the graceful shutdown |
//! | [`acceptor`] | accepts connections, and drains the accept queue before the listener is closed |
//! | [`connection`] | the task of one connection, which drives hyper |
//! | [`request`] | validates a request, submits it to the engine and answers it |
//! | [`connections`] | the table of open connections: sweep, eviction, shutdown |
//! | [`read_ahead`] | reads the socket ahead of hyper, and gives hyper one request at a time |
//! | [`connection_state`] | the state of one connection, shared by its task and the table |
//! | [`close_signals`] | signals that ask a connection's task to close its connection |
//! | [`response`] | builds the responses to clients |
//! | [`limits`] | bounds on the head of a request |
//!
//! The server runs on one thread. State is therefore shared through `Rc`, `Cell` and `RefCell`, and no borrow
//! is held across an await.

mod acceptor;
mod close_signals;
mod connection;
mod connection_state;
mod connections;
mod limits;
mod read_ahead;
mod request;
mod response;
mod server;
mod shutdown;

pub use server::serve;
