//! The encoding of timer tokens as numbers.

use limiter_core::*;

/// A token of each kind.
const TOKENS: [TimerToken; 6] = [
    TimerToken::ControlStep,
    TimerToken::Deadline(5),
    TimerToken::LatencyObjective(5),
    TimerToken::SilenceCheck(5),
    TimerToken::GrantReply(5),
    TimerToken::GossipFlush,
];

#[test]
fn decoding_an_encoded_token_returns_the_token() {
    for token in TOKENS {
        assert_eq!(TimerToken::decode(token.encode()), Some(token));
    }
}

#[test]
fn a_number_that_encodes_no_token_is_rejected() {
    for not_a_token in [6, 7, 8, 13, u64::MAX >> 1, u64::MAX] {
        assert_eq!(TimerToken::decode(not_a_token), None, "{not_a_token}");
    }
}
