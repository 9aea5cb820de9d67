//! Gossip between limiters: the types and the encoding of the messages, and how they are sent and received.
//!
//! Messages are datagrams: each may be lost, duplicated, delayed or reordered, and none is acknowledged.
//!
//! **Format of a message.** At most 256 bytes; all integers and floating-point numbers are big endian.
//!
//! | bytes | contents |
//! | --- | --- |
//! | 1 | magic number |
//! | 2 | checksum over all other bytes |
//! | 4 | incarnation of the sender, which distinguishes one start of a limiter from another |
//! | 1 | smoothed latency of the sender's responses, in 254ths of the latency objective; 255 for none |
//! | the rest | lines: one byte for the kind, then the fields of that kind, each of a fixed length |
//!
//! A limiter ignores the whole message if the magic number or the checksum is wrong, the last line is
//! incomplete, a value is invalid, or **a line is of an unknown kind**: the length of such a line is unknown,
//! so the start of the next line cannot be found. Old and new limiters run side by side during a release. A
//! new kind of line must therefore not share a message with lines that old limiters depend on.
//!
//! **Which file holds what:**
//!
//! | file | contents |
//! | --- | --- |
//! | `messages` | the messages and their lines as types |
//! | `codec` | the encoding and decoding of messages |
//! | `queue` | messages that wait to be sent, their bounds, and the allowance for sending |
//! | `flush` | which messages are sent now or later, and which lines are dropped as outdated |
//! | `receive` | how each received line is handled |

mod codec;
mod flush;
mod messages;
mod queue;
mod receive;

pub(crate) use messages::{GossipLine, GrantReply, QuotaRequest, Settlement};
pub(crate) use queue::GossipQueue;
