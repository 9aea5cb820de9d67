//! Sockets that handle everything that system calls may do by Linux's documentation.
//!
//! tokio's own sockets assume after a read or write which transfers less than its buffer that the socket is
//! drained or full, and wait until the system reports it as ready once more. A transfer may be short for
//! other reasons, and then that report never arrives. They also return interruptions (EINTR) as errors. The
//! sockets here count as ready until a call says that it would block, and repeat a call that was interrupted.
//!
//! Modules, in the order in which to read them; each one uses only those listed after it:
//!
//! | module | job |
//! | --- | --- |
//! | [`listener`] | accepts TCP connections |
//! | [`stream`] | a TCP connection |
//! | [`datagram`] | a UDP socket |
//! | [`retry`] | repeats calls that were interrupted, or failed because resources were exhausted |
//! | [`errors`] | classifies the errors of system calls |

mod datagram;
mod errors;
mod listener;
mod retry;
mod stream;

pub use datagram::DatagramSocket;
pub use errors::is_local_failure;
pub use listener::Listener;
pub use retry::retry_on_resource_exhaustion;
pub use stream::Stream;
