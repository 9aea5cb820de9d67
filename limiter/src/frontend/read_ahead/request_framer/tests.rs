//! Separation of pipelined requests.

use super::*;

const GET: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const POST: &str = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";

/// Returns the lengths of the requests in `bytes`, which the framer is given in pieces of a fixed length.
fn lengths(bytes: &[u8], piece: usize) -> Vec<usize> {
    let mut framer = RequestFramer::new();
    let mut lengths = Vec::new();
    let mut length = 0;
    for mut rest in bytes.chunks(piece) {
        while !rest.is_empty() {
            let taken = framer.advance(rest);
            length += taken;
            rest = &rest[taken..];
            if framer.is_complete() {
                lengths.push(std::mem::take(&mut length));
                framer.begin_next();
            }
        }
    }
    lengths
}

#[test]
fn requests_are_separated_wherever_their_bytes_are_split() {
    let all = [GET, POST, GET, "\r\n", POST].concat();
    for piece in 1..all.len() {
        let expected = [GET.len(), POST.len(), GET.len(), POST.len() + 2];
        assert_eq!(lengths(all.as_bytes(), piece), expected, "pieces of {piece}");
    }
}

#[test]
fn lines_may_end_without_a_carriage_return() {
    let bare = GET.replace('\r', "");
    assert_eq!(lengths(bare.repeat(2).as_bytes(), 7), [bare.len(), bare.len()]);
}

/// A request that cannot be framed is passed to hyper up to the last byte, so that hyper rejects it.
#[test]
fn a_request_without_a_known_end_is_passed_on_completely() {
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
