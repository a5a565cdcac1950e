use crate::{
    member,
    wire::{Body, Error, Keyring, Result, keyring::TAG_BYTES},
};

const VERSION: u8 = 1;

/// Version, key number and sender.
const HEADER_BYTES: usize = 1 + 1 + 8;

/// The largest frame in bytes: the largest UDP payload over IPv4.
pub const MAX_FRAME_BYTES: usize = 65_507;

/// A decoded frame.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame<'a> {
    /// The member that sent the frame.
    pub sender: member::Id,
    /// The content.
    pub body: Body,
    /// The IP packet after a [`Body::Hop`]; empty for other bodies.
    pub packet: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Decodes and authenticates a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is too short, has another version, does not pass
    /// the authentication, or does not follow the codec.
    pub fn decode(bytes: &'a [u8], keyring: &Keyring) -> Result<Frame<'a>> {
        let minimum = HEADER_BYTES + TAG_BYTES;
        if bytes.len() < minimum {
            return Err(Error::Short { length: bytes.len(), minimum });
        }
        if bytes[0] != VERSION {
            return Err(Error::Version { found: bytes[0], expected: VERSION });
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        keyring.verify(bytes[1], signed, tag)?;
        let (header, rest) = signed.split_at(HEADER_BYTES);
        let mut sender = [0; 8];
        sender.copy_from_slice(&header[2..]);
        let (body, packet) = postcard::take_from_bytes(rest)?;
        Ok(Frame { sender: member::Id::from_le_bytes(sender), body, packet })
    }

    /// Appends the encoded frame to `buffer`, so that the frames of a batch can share one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Long`] if the frame does not fit in a datagram. The buffer may then hold a
    /// part of the frame after its former end.
    ///
    /// ```
    /// use banyanwharf::{flow::Fingerprint, wire::{Body, Frame, Keyring}};
    ///
    /// let keyring = Keyring::new([(1, [7; 32])])?;
    /// let body = Body::Query { fingerprint: Fingerprint(42) };
    /// let frame = Frame { sender: 3, body, packet: &[] };
    /// let mut buffer = Vec::new();
    /// frame.encode(&keyring, &mut buffer)?;
    /// assert_eq!(Frame::decode(&buffer, &keyring)?, frame);
    /// # Ok::<(), banyanwharf::wire::Error>(())
    /// ```
    pub fn encode(&self, keyring: &Keyring, buffer: &mut Vec<u8>) -> Result<()> {
        let number = keyring.signing_key();
        let start = buffer.len();
        buffer.extend_from_slice(&[VERSION, number]);
        buffer.extend_from_slice(&self.sender.to_le_bytes());
        postcard::to_extend(&self.body, Appender(buffer))?;
        buffer.extend_from_slice(self.packet);
        let tag = keyring.tag(number, &buffer[start..])?;
        buffer.extend_from_slice(&tag);
        let length = buffer.len() - start;
        if length > MAX_FRAME_BYTES {
            return Err(Error::Long { length, maximum: MAX_FRAME_BYTES });
        }
        Ok(())
    }
}

/// Lets the codec append to a buffer that it does not own.
struct Appender<'a>(&'a mut Vec<u8>);

impl Extend<u8> for Appender<'_> {
    fn extend<T: IntoIterator<Item = u8>>(&mut self, bytes: T) {
        self.0.extend(bytes);
    }
}
