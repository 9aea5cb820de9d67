//! The queue of gossip messages, and the send allowance.

use std::collections::VecDeque;

use super::codec::has_space_for;
use super::messages::GossipLine;
use crate::event::{Millis, RequestId};
use crate::token_bucket::TokenBucket;

/// Largest number of queued messages. Without this bound, the queue could grow without limit if hundreds of
/// peers poll a limiter whose send allowance is close to zero. With 256 bytes each at most, the queue holds
/// 64 KiB of messages at most.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Time in seconds for which unused allowance accumulates. A queue that takes longer than this time to send
/// is congested.
const BURST_S: f64 = 0.1;
/// Shortest time to the next flush in milliseconds.
const MIN_FLUSH_DELAY_MS: Millis = 1.0;

/// A line in the queue.
#[derive(Debug)]
pub(super) struct QueuedLine {
    /// When the line was queued.
    pub queued_at: Millis,
    /// The line.
    pub line: GossipLine,
}

/// The lines of one message in the queue.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    /// Position of the receiver.
    pub to: u32,
    /// The lines in the order in which they were queued.
    pub lines: Vec<QueuedLine>,
}

/// The messages that wait to be sent, and the send allowance.
#[derive(Debug)]
pub(crate) struct GossipQueue {
    /// Messages in the order in which their first lines were queued.
    messages: VecDeque<QueuedMessage>,
    /// Number of messages that may be sent now.
    allowance: TokenBucket,
    /// Whether a timer for the next flush is set.
    pub(crate) flush_scheduled: bool,
}

impl GossipQueue {
    /// Returns an empty queue with an allowance of one message.
    pub fn new(now: Millis) -> Self {
        GossipQueue {
            messages: VecDeque::new(),
            allowance: TokenBucket::new(1.0, now),
            flush_scheduled: false,
        }
    }

    /// Returns the number of queued messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Adds a line to the first queued message for the receiver `to` in which the line fits, or to a new
    /// message if the line fits in none.
    pub(super) fn push(&mut self, now: Millis, to: u32, line: GossipLine) {
        let message_with_space = self.messages.iter_mut().find(|message| {
            message.to == to && has_space_for(&line, message.lines.iter().map(|queued| &queued.line))
        });
        match message_with_space {
            Some(message) => message.lines.push(QueuedLine { queued_at: now, line }),
            None => self.push_message(now, to, vec![line]),
        }
    }

    /// Adds a new message. Drops the oldest messages if the queue exceeds its bound.
    pub fn push_message(&mut self, now: Millis, to: u32, lines: Vec<GossipLine>) {
        let lines = lines.into_iter().map(|line| QueuedLine { queued_at: now, line }).collect();
        self.messages.push_back(QueuedMessage { to, lines });
        let num_excess = self.messages.len().saturating_sub(MAX_QUEUED_MESSAGES);
        self.messages.drain(..num_excess);
    }

    /// Returns whether a quota request to an owner is still in the queue. Reports of spent units are ignored.
    pub fn has_unsent_quota_request(&self, owner: u32, id: RequestId) -> bool {
        let is_request = |queued: &QueuedLine| match queued.line {
            GossipLine::QuotaRequest(request) => request.id == id && !request.already_spent,
            _ => false,
        };
        self.messages.iter().any(|message| message.to == owner && message.lines.iter().any(is_request))
    }

    /// Adds to the allowance for the time since the last refill, at `rate` messages per second.
    pub(super) fn refill_allowance(&mut self, now: Millis, rate: f64) {
        self.allowance.refill(now, rate, (rate * BURST_S).max(1.0));
    }

    /// Removes the next message to be sent, if there is one and the allowance permits one more message.
    ///
    /// If the queue is not congested, the oldest message is next: if the newest were next, the few peers of a
    /// small deployment would starve each other. If the queue is congested, the newest message is next: if
    /// the oldest were next, every reply would arrive too late, and the members would repeat their quota
    /// requests, so that the queue would grow further.
    pub(super) fn pop(&mut self, rate: f64) -> Option<QueuedMessage> {
        if self.allowance.level < 1.0 {
            return None;
        }
        let is_congested = self.messages.len() as f64 > rate * BURST_S;
        if is_congested {
            self.messages.pop_back()
        } else {
            self.messages.pop_front()
        }
    }

    /// Deducts one message from the allowance.
    pub(super) fn spend_allowance(&mut self) {
        self.allowance.level -= 1.0;
    }

    /// Returns the time in milliseconds to the next flush, or `None` if no timer has to be set for a flush: a
    /// timer is set already, the queue is empty, or the rate is 0.
    pub(super) fn next_flush_delay_ms(&self, rate: f64, event_interval_ms: Millis) -> Option<Millis> {
        if self.flush_scheduled || self.messages.is_empty() || rate <= 0.0 {
            return None;
        }
        let min_delay_ms = event_interval_ms.max(MIN_FLUSH_DELAY_MS);
        Some(((1.0 - self.allowance.level) * 1000.0 / rate).max(min_delay_ms))
    }
}
