//! Splits a byte stream into JSON objects.

use bytes::{Buf, BytesMut};

/// Longest object that is accepted, in bytes. Bounds the memory that a faulty discovery can make the limiter
/// use. The largest fleet has 3,200 servers, and twice as many are listed while all of them are replaced.
/// With about 300 bytes for an indented entry, the list takes about 2 MB, half of this bound.
pub const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why a stream cannot be split any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The stream continues with something other than an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("an object is longer than {MAX_OBJECT_BYTES} bytes")]
    TooLong,
}

/// Splits a stream into JSON objects, regardless of their layout and of the boundaries between the chunks of
/// the stream. The framer examines only brackets and strings, so the objects that it returns may be
/// malformed.
#[derive(Default)]
pub struct ObjectFramer {
    buffer: BytesMut,
    /// Number of bytes of the buffer that have been scanned.
    scanned: usize,
    /// Number of brackets that are open at the end of the scanned bytes.
    depth: u32,
    /// Whether the scanned bytes end within a string.
    is_in_string: bool,
    /// Whether a backslash escapes the next byte.
    is_escaped: bool,
}

impl ObjectFramer {
    /// Appends the next chunk of the stream.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns whether the buffer is empty, so that the stream has been split up to the end of an object.
    /// Call [`ObjectFramer::next_object`] first, which skips the white space between objects.
    pub fn is_between_objects(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next object, if it has arrived completely.
    ///
    /// # Errors
    /// [`FramingError`] if the rest of the stream cannot be split.
    pub fn next_object(&mut self) -> Result<Option<BytesMut>, FramingError> {
        if self.depth == 0 {
            self.skip_to_object()?;
        }
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.scan_byte(byte) {
                let length = std::mem::take(&mut self.scanned);
                return Ok(Some(self.buffer.split_to(length)));
            }
        }
        if self.buffer.len() > MAX_OBJECT_BYTES {
            return Err(FramingError::TooLong);
        }
        Ok(None)
    }

    /// Skips white space up to the beginning of an object.
    ///
    /// # Errors
    /// [`FramingError::NotAnObject`] if something else follows the white space.
    fn skip_to_object(&mut self) -> Result<(), FramingError> {
        let whitespace_length = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.buffer.advance(whitespace_length);
        match self.buffer.first() {
            None | Some(b'{') => Ok(()),
            Some(_) => Err(FramingError::NotAnObject),
        }
    }

    /// Scans one byte. Returns whether the byte ends the object.
    fn scan_byte(&mut self, byte: u8) -> bool {
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' if self.is_in_string => self.is_escaped = true,
            b'"' => self.is_in_string = !self.is_in_string,
            _ if self.is_in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth -= 1;
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }
}

#[cfg(test)]
mod tests;
