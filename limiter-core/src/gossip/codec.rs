//! The binary encoding of gossip messages. The format is described in [`crate::gossip`].

use super::messages::{GossipLine, GossipMessage, GrantReply, QuotaRequest, Settlement};
use crate::endpoints::Fingerprint;
use crate::event::{CustomerId, RequestId};

/// Magic number: the first byte of each message. A message that begins with another byte is ignored.
const MAGIC: u8 = 0xfd;
/// Byte range of the checksum in a message.
const CHECKSUM_RANGE: std::ops::Range<usize> = 1..3;
/// Length of the header in bytes: magic number (1), checksum (2), incarnation (4), latency (1).
const HEADER_BYTES: usize = 8;
/// Largest length of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Value of the latency byte if there is no latency.
const NO_LATENCY: u8 = 255;
/// Value of the latency byte for a latency that equals or exceeds the latency objective.
const FULL_LATENCY: u8 = 254;
/// Modulus of the checksum: the largest prime below 2^16.
const CHECKSUM_MODULUS: u32 = 65_521;

/// The kinds of lines: the first byte of each line.
mod kind {
    pub const QUOTA_REQUEST: u8 = 1;
    pub const GRANTED: u8 = 2;
    pub const DENIED: u8 = 3;
    pub const SETTLEMENT: u8 = 4;
    pub const UNITS_SPENT: u8 = 5;
    pub const TOMBSTONE_POLL: u8 = 6;
    pub const TOMBSTONE: u8 = 7;
}

/// A value of fixed length, written big endian.
trait Field: Sized {
    /// Length in bytes.
    const BYTES: usize;
    /// Appends the value to a message.
    fn write(&self, body: &mut Vec<u8>);
    /// Removes the value from the front of `rest`. Returns `None` if `rest` is too short or the value is
    /// invalid.
    fn read(rest: &mut &[u8]) -> Option<Self>;
}

macro_rules! integer_field {
    ($($integer:ty),*) => {$(
        impl Field for $integer {
            const BYTES: usize = size_of::<$integer>();
            fn write(&self, body: &mut Vec<u8>) {
                body.extend_from_slice(&self.to_be_bytes());
            }
            fn read(rest: &mut &[u8]) -> Option<Self> {
                let (bytes, remaining) = rest.split_first_chunk()?;
                *rest = remaining;
                Some(<$integer>::from_be_bytes(*bytes))
            }
        }
    )*};
}
integer_field!(u8, u16, u32, u64);

/// An amount of units or a ratio. A value that is negative, infinite or not a number is invalid.
impl Field for f32 {
    const BYTES: usize = size_of::<f32>();
    fn write(&self, body: &mut Vec<u8>) {
        self.to_bits().write(body);
    }
    fn read(rest: &mut &[u8]) -> Option<Self> {
        let amount = f32::from_bits(u32::read(rest)?);
        if amount.is_finite() && amount >= 0.0 {
            Some(amount)
        } else {
            None
        }
    }
}

impl Field for Fingerprint {
    const BYTES: usize = u32::BYTES;
    fn write(&self, body: &mut Vec<u8>) {
        self.0.write(body);
    }
    fn read(rest: &mut &[u8]) -> Option<Self> {
        Some(Fingerprint(u32::read(rest)?))
    }
}

/// Implements the encoding of a struct as the sequence of the fields before the semicolon. The field after
/// the semicolon is not written, because the kind of the line determines its value.
macro_rules! layout {
    ($name:ident { $($field:ident: $type:ty),* $(; $flag:ident)? }) => {
        impl $name {
            const BYTES: usize = 0 $(+ <$type as Field>::BYTES)*;
            fn write(&self, body: &mut Vec<u8>) {
                $(self.$field.write(body);)*
            }
            fn read(rest: &mut &[u8] $(, $flag: bool)?) -> Option<Self> {
                Some($name { $($field: <$type as Field>::read(rest)?,)* $($flag)? })
            }
        }
    };
}

layout!(QuotaRequest {
    id: RequestId, customer: CustomerId, plan: u8, first_member: u16, member_count: u16, units: f32,
    unreported_units: f32; already_spent
});

layout!(GrantReply {
    id: RequestId, customer: CustomerId, plan: u8, member_incarnation: u32, demand_ratio: f32,
    tokens_left: f32; granted
});

layout!(Settlement { id: RequestId, used_units: f32 });

impl GossipLine {
    fn write(&self, body: &mut Vec<u8>) {
        match self {
            GossipLine::QuotaRequest(request) => {
                body.push(if request.already_spent { kind::UNITS_SPENT } else { kind::QUOTA_REQUEST });
                request.write(body);
            }
            GossipLine::GrantReply(reply) => {
                body.push(if reply.granted { kind::GRANTED } else { kind::DENIED });
                reply.write(body);
            }
            GossipLine::Settlement(settlement) => {
                body.push(kind::SETTLEMENT);
                settlement.write(body);
            }
            GossipLine::TombstonePoll => body.push(kind::TOMBSTONE_POLL),
            GossipLine::Tombstone(fingerprint) => {
                body.push(kind::TOMBSTONE);
                fingerprint.write(body);
            }
        }
    }

    fn read(rest: &mut &[u8]) -> Option<GossipLine> {
        let line = match u8::read(rest)? {
            kind::QUOTA_REQUEST => GossipLine::QuotaRequest(QuotaRequest::read(rest, false)?),
            kind::UNITS_SPENT => GossipLine::QuotaRequest(QuotaRequest::read(rest, true)?),
            kind::GRANTED => GossipLine::GrantReply(GrantReply::read(rest, true)?),
            kind::DENIED => GossipLine::GrantReply(GrantReply::read(rest, false)?),
            kind::SETTLEMENT => GossipLine::Settlement(Settlement::read(rest)?),
            kind::TOMBSTONE_POLL => GossipLine::TombstonePoll,
            kind::TOMBSTONE => GossipLine::Tombstone(Fingerprint::read(rest)?),
            _ => return None,
        };
        Some(line)
    }

    /// Returns the length of the line in bytes, including the kind.
    fn num_bytes(&self) -> usize {
        let fields = match self {
            GossipLine::QuotaRequest(_) => QuotaRequest::BYTES,
            GossipLine::GrantReply(_) => GrantReply::BYTES,
            GossipLine::Settlement(_) => Settlement::BYTES,
            GossipLine::TombstonePoll => 0,
            GossipLine::Tombstone(_) => Fingerprint::BYTES,
        };
        u8::BYTES + fields
    }
}

/// Returns whether a message that consists of `existing` lines stays within the largest length if a line is
/// added.
pub(super) fn has_space_for<'a>(added: &GossipLine, existing: impl Iterator<Item = &'a GossipLine>) -> bool {
    let existing_bytes: usize = existing.map(GossipLine::num_bytes).sum();
    HEADER_BYTES + existing_bytes + added.num_bytes() <= MAX_MESSAGE_BYTES
}

impl GossipMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![MAGIC, 0, 0];
        self.incarnation.write(&mut body);
        body.push(encode_latency(self.latency));
        for line in &self.lines {
            line.write(&mut body);
        }
        let checksum = checksum(&body).to_be_bytes();
        body[CHECKSUM_RANGE].copy_from_slice(&checksum);
        body
    }

    /// Decodes a message. Returns `None` if the header is incomplete, the magic number or the checksum is
    /// wrong, or a line is incomplete, invalid or of an unknown kind.
    pub fn decode(body: &[u8]) -> Option<GossipMessage> {
        if body.len() < HEADER_BYTES
            || body[0] != MAGIC
            || body[CHECKSUM_RANGE] != checksum(body).to_be_bytes()
        {
            return None;
        }
        let mut rest = &body[CHECKSUM_RANGE.end..];
        let incarnation = u32::read(&mut rest)?;
        let latency = decode_latency(u8::read(&mut rest)?);
        let mut lines = Vec::new();
        while !rest.is_empty() {
            lines.push(GossipLine::read(&mut rest)?);
        }
        Some(GossipMessage { incarnation, latency, lines })
    }
}

/// Encodes a latency as the latency byte. A latency above the objective is encoded as the objective.
fn encode_latency(latency: Option<f64>) -> u8 {
    match latency {
        Some(fraction) => (fraction.clamp(0.0, 1.0) * f64::from(FULL_LATENCY)).round() as u8,
        None => NO_LATENCY,
    }
}

/// Decodes the latency byte.
fn decode_latency(byte: u8) -> Option<f64> {
    if byte == NO_LATENCY {
        None
    } else {
        Some(f64::from(byte) / f64::from(FULL_LATENCY))
    }
}

/// Returns the checksum of a message: the sum of all bytes except those of the checksum, modulo
/// [`CHECKSUM_MODULUS`]. Each byte is multiplied by an odd weight that grows with its position, so that
/// swapped bytes are detected.
fn checksum(body: &[u8]) -> u16 {
    let mut sum: u32 = 0;
    for (position, byte) in (0u32..).zip(body) {
        if !CHECKSUM_RANGE.contains(&(position as usize)) {
            let weight = 2 * position + 3;
            sum = sum.wrapping_add(u32::from(*byte) * weight);
        }
    }
    (sum % CHECKSUM_MODULUS) as u16
}
