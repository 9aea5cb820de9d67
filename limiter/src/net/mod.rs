//! Sockets that tolerate short and interrupted system calls, as Linux documents them.
//!
//! When a read or write of a tokio socket transfers fewer bytes than its buffer holds, tokio assumes that the
//! socket is drained or full, and waits until the system reports it as ready again. A transfer may be short
//! for other reasons, and that report then never arrives. The sockets of tokio also return interruptions
//! (EINTR) as errors. The sockets in this module are treated as ready until a call would block, and repeat
//! interrupted calls.
//!
//! Modules, in the order in which to read them; each one uses only those listed after it:
//!
//! | module | job |
//! | --- | --- |
//! | [`listener`] | accepts TCP connections |
//! | [`stream`] | a TCP connection |
//! | [`datagram`] | a UDP socket |
//! | [`retry`] | retries system calls after interruptions or while resources are exhausted |
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
