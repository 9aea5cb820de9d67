//! Tests of the separation of pipelined requests.

use super::*;

const GET: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const POST: &str = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";

/// Passes `bytes` to a framer in pieces of `piece_length` bytes, and returns the lengths of the requests.
fn request_lengths(bytes: &[u8], piece_length: usize) -> Vec<usize> {
    let mut framer = RequestFramer::new();
    let mut lengths = Vec::new();
    let mut length = 0;
    for mut rest in bytes.chunks(piece_length) {
        while !rest.is_empty() {
            let consumed = framer.advance(rest);
            length += consumed;
            rest = &rest[consumed..];
            if framer.is_complete() {
                lengths.push(std::mem::take(&mut length));
                framer.begin_next();
            }
        }
    }
    lengths
}

#[test]
fn requests_are_separated_for_every_piece_length() {
    let all = [GET, POST, GET, "\r\n", POST].concat();
    for piece_length in 1..all.len() {
        let expected = [GET.len(), POST.len(), GET.len(), POST.len() + 2];
        assert_eq!(request_lengths(all.as_bytes(), piece_length), expected, "pieces of {piece_length} bytes");
    }
}

#[test]
fn lines_may_end_without_a_carriage_return() {
    let bare = GET.replace('\r', "");
    assert_eq!(request_lengths(bare.repeat(2).as_bytes(), 7), [bare.len(), bare.len()]);
}

/// Once a request cannot be framed, all further bytes are passed to hyper, so that hyper rejects the request.
#[test]
fn all_bytes_belong_to_a_request_that_cannot_be_framed() {
    for head in [
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "noise\r\n\r\n",
    ] {
        let bytes = [head, GET].concat();
        let mut framer = RequestFramer::new();
        assert_eq!(framer.advance(bytes.as_bytes()), bytes.len(), "{head}");
        assert!(!framer.is_complete());
    }
}
