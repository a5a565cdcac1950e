use crate::{
    member,
    wire::{Body, Error, Keyring, Result, keyring::TAG_BYTES},
};

/// The version of the frame format.
const VERSION: u8 = 1;

/// The length of the version, the key number and the sender in bytes.
const HEADER_BYTES: usize = 1 + 1 + 8;

/// The maximum length of a frame in bytes, which is the maximum UDP payload over IPv4.
pub const MAX_FRAME_BYTES: usize = 65_507;

/// A frame between two daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame<'a> {
    /// The id of the member that sent the frame.
    pub sender: member::Id,
    /// The body.
    pub body: Body,
    /// The IP packet that follows a [`Body::Hop`]; empty for other bodies.
    pub packet: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is too short, has an unsupported version, fails
    /// authentication, or has a body that cannot be decoded.
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

    /// Appends the encoded frame to `buffer`, so that the frames of a batch can share one buffer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Long`] if the frame does not fit in a datagram, and [`Error::Codec`] if
    /// the body cannot be encoded. After an error, the previous content of `buffer` is unchanged,
    /// but a part of the frame may follow it.
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
        let key_number = keyring.signing_key();
        let start = buffer.len();
        buffer.extend_from_slice(&[VERSION, key_number]);
        buffer.extend_from_slice(&self.sender.to_le_bytes());
        postcard::to_extend(&self.body, Appender(buffer))?;
        buffer.extend_from_slice(self.packet);
        let tag = keyring.tag(key_number, &buffer[start..])?;
        buffer.extend_from_slice(&tag);
        let length = buffer.len() - start;
        if length > MAX_FRAME_BYTES {
            return Err(Error::Long { length, maximum: MAX_FRAME_BYTES });
        }
        Ok(())
    }
}

/// Adapts a borrowed buffer to the codec, which takes the destination by value.
struct Appender<'a>(&'a mut Vec<u8>);

impl Extend<u8> for Appender<'_> {
    fn extend<T: IntoIterator<Item = u8>>(&mut self, bytes: T) {
        self.0.extend(bytes);
    }
}
