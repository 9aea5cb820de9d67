//! The bytes of gossip messages: a header with the sender's incarnation and latency, then lines of several kinds.
//! What is sent, and what is made of it, is decided elsewhere.

use crate::event::{CustomerId, RequestId};

/// First byte of each message (magic number); a message that begins with another is ignored.
const FORMAT_MAGIC: u8 = 0xfd;
/// Position of the checksum in a message.
const CHECKSUM_RANGE: std::ops::Range<usize> = 1..3;
/// Bytes of the header: mark, checksum, start of the sender, its latency.
const HEADER_BYTES: usize = 8;
/// Most bytes of a message.
const MAX_MESSAGE_BYTES: usize = 256;
/// Latency byte that says that there is none.
const NO_LATENCY: u8 = 255;
/// Latency byte of a latency as long as the objective.
const FULL_LATENCY: u8 = 254;
/// Modulus of the checksum: the largest prime below 2^16.
const CHECKSUM_MODULUS: u32 = 65_521;

/// The first byte of a line.
mod kind {
    pub const QUOTA_REQUEST: u8 = 1;
    pub const GRANTED: u8 = 2;
    pub const NOT_GRANTED: u8 = 3;
    pub const SETTLEMENT: u8 = 4;
    pub const UNITS_SPENT: u8 = 5;
    pub const TOMBSTONE_POLL: u8 = 6;
    pub const TOMBSTONE: u8 = 7;
}

/// A value of fixed length, big endian.
trait Field: Sized {
    /// Bytes that it takes.
    const BYTES: usize;
    /// Adds it to a message.
    fn write(&self, body: &mut Vec<u8>);
    /// Takes it off the front of `rest`, if it is there and valid.
    fn read(rest: &mut &[u8]) -> Option<Self>;
}

macro_rules! integer_field {
    ($($integer:ty),*) => {$(
        impl Field for $integer {
            const BYTES: usize = std::mem::size_of::<$integer>();
            fn write(&self, body: &mut Vec<u8>) {
                body.extend_from_slice(&self.to_be_bytes());
            }
            fn read(rest: &mut &[u8]) -> Option<Self> {
                let (front, back) = rest.split_first_chunk()?;
                *rest = back;
                Some(<$integer>::from_be_bytes(*front))
            }
        }
    )*};
}
integer_field!(u8, u16, u32, u64);

/// An amount; negative and infinite ones are not read.
impl Field for f32 {
    const BYTES: usize = size_of::<f32>();
    fn write(&self, body: &mut Vec<u8>) {
        self.to_bits().write(body);
    }
    fn read(rest: &mut &[u8]) -> Option<Self> {
        Some(f32::from_bits(u32::read(rest)?)).filter(|amount| amount.is_finite() && *amount >= 0.0)
    }
}

/// Gives a struct the layout of its fields, one after the other. Those behind the semicolon are not in the
/// layout, but in the kind of the line.
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

/// A member asks an owner for the units of one request, or reports that it has spent them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QuotaRequest {
    /// The member's request.
    pub id: RequestId,
    /// The customer.
    pub customer: CustomerId,
    /// Index of the plan in the settings.
    pub plan: u8,
    /// Position of the quota's first member.
    pub first_member: u16,
    /// Number of its members.
    pub member_count: u16,
    /// Units of the request.
    pub units: f32,
    /// Units that the member has shed since the last reply.
    pub unreported_units: f32,
    /// The member has spent the units from its own share: they are reported, not asked for.
    pub already_spent: bool,
}

layout!(QuotaRequest {
    id: RequestId, customer: CustomerId, plan: u8, first_member: u16, member_count: u16, units: f32,
    unreported_units: f32; already_spent
});

/// An owner's reply to a quota request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct GrantReply {
    /// The member's request.
    pub id: RequestId,
    /// The customer.
    pub customer: CustomerId,
    /// Index of the plan in the settings.
    pub plan: u8,
    /// Incarnation of the member that asked.
    pub member_incarnation: u32,
    /// The customer's demand at all limiters as a multiple of its quota.
    pub demand_ratio: f32,
    /// Units left in the owner's bucket.
    pub tokens_left: f32,
    /// The units may be spent.
    pub granted: bool,
}

layout!(GrantReply {
    id: RequestId, customer: CustomerId, plan: u8, member_incarnation: u32, demand_ratio: f32,
    tokens_left: f32; granted
});

/// A member has finished a request that was granted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Settlement {
    /// The member's request.
    pub id: RequestId,
    /// Units that it really cost: none if it was never forwarded.
    pub used_units: f32,
}

layout!(Settlement { id: RequestId, used_units: f32 });

/// One line of a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GossipLine {
    /// To an owner.
    QuotaRequest(QuotaRequest),
    /// From an owner.
    GrantReply(GrantReply),
    /// To an owner.
    Settlement(Settlement),
    /// To anyone, from a limiter that discovery does not answer: which servers have departed?
    TombstonePoll,
    /// The answer: a server that drains or is gone, by the fingerprint of its start.
    Tombstone(u32),
}

impl GossipLine {
    fn write(&self, body: &mut Vec<u8>) {
        match self {
            GossipLine::QuotaRequest(request) => {
                body.push(if request.already_spent { kind::UNITS_SPENT } else { kind::QUOTA_REQUEST });
                request.write(body);
            }
            GossipLine::GrantReply(reply) => {
                body.push(if reply.granted { kind::GRANTED } else { kind::NOT_GRANTED });
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
            kind::NOT_GRANTED => GossipLine::GrantReply(GrantReply::read(rest, false)?),
            kind::SETTLEMENT => GossipLine::Settlement(Settlement::read(rest)?),
            kind::TOMBSTONE_POLL => GossipLine::TombstonePoll,
            kind::TOMBSTONE => GossipLine::Tombstone(u32::read(rest)?),
            _ => return None,
        };
        Some(line)
    }

    /// Bytes that it takes, the kind included.
    fn bytes(&self) -> usize {
        let fields = match self {
            GossipLine::QuotaRequest(_) => QuotaRequest::BYTES,
            GossipLine::GrantReply(_) => GrantReply::BYTES,
            GossipLine::Settlement(_) => Settlement::BYTES,
            GossipLine::TombstonePoll => 0,
            GossipLine::Tombstone(_) => u32::BYTES,
        };
        u8::BYTES + fields
    }
}

/// Whether another line fits into a message beside `lines`.
pub(crate) fn fits_beside<'a>(lines: impl Iterator<Item = &'a GossipLine>, another: &GossipLine) -> bool {
    HEADER_BYTES + lines.map(GossipLine::bytes).sum::<usize>() + another.bytes() <= MAX_MESSAGE_BYTES
}

/// A message between limiters.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct GossipMessage {
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The sender's latency as a fraction of the objective, if it has any.
    pub latency: Option<f64>,
    /// The lines.
    pub lines: Vec<GossipLine>,
}

impl GossipMessage {
    /// The bytes of the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![FORMAT_MAGIC, 0, 0];
        self.incarnation.write(&mut body);
        let encode = |latency: f64| (latency.clamp(0.0, 1.0) * f64::from(FULL_LATENCY)).round() as u8;
        body.push(self.latency.map_or(NO_LATENCY, encode));
        for line in &self.lines {
            line.write(&mut body);
        }
        let checksum = checksum(&body).to_be_bytes();
        body[CHECKSUM_RANGE].copy_from_slice(&checksum);
        body
    }

    /// Reads a message; nothing unless all of it is valid.
    pub fn decode(body: &[u8]) -> Option<GossipMessage> {
        if body.len() < HEADER_BYTES
            || body[0] != FORMAT_MAGIC
            || body[CHECKSUM_RANGE] != checksum(body).to_be_bytes()
        {
            return None;
        }
        let mut rest = &body[CHECKSUM_RANGE.end..];
        let incarnation = u32::read(&mut rest)?;
        let latency = u8::read(&mut rest)?;
        let latency = (latency != NO_LATENCY).then(|| f64::from(latency) / f64::from(FULL_LATENCY));
        let mut lines = Vec::new();
        while !rest.is_empty() {
            lines.push(GossipLine::read(&mut rest)?);
        }
        Some(GossipMessage { incarnation, latency, lines })
    }
}

/// Sum over all bytes but the checksum's own, each times an odd number that grows with its position.
fn checksum(body: &[u8]) -> u16 {
    let counted =
        body.iter().zip(0u32..).filter(|(_, position)| !CHECKSUM_RANGE.contains(&(*position as usize)));
    let sum = counted
        .map(|(byte, position)| u32::from(*byte) * checksum_weight(position))
        .fold(0, u32::wrapping_add);
    (sum % CHECKSUM_MODULUS) as u16
}

fn checksum_weight(position: u32) -> u32 {
    2 * position + 3
}
