//! Authenticated frames over TCP between bamboowind processes.
//!
//! A frame consists of a length, a phase byte, a 32-byte tag and a `prost` message. The client
//! first sends a random challenge in a frame of its own. The tags in both directions cover it, so
//! that frames of an earlier connection cannot be replayed to the client.

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::key_ring::SharedKeyRing;

/// Maximum length of a frame, in bytes; the store limits values to one megabyte.
pub const MAX_FRAME_LEN: usize = 2 << 20;

const TAG_LEN: usize = 32;
const CHALLENGE_LEN: usize = 16;

/// Failure of a framed stream.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed.
    #[snafu(display("framed connection failed: {source}"))]
    Connection {
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("framed connection was closed by the peer"))]
    Closed,
    /// The frame is too short, or its phase or tag is wrong.
    #[snafu(display("frame failed authentication; check that both processes share a key phase"))]
    NotAuthentic,
    /// The message cannot be decoded.
    #[snafu(display("frame cannot be decoded: {source}"))]
    Decode {
        /// Underlying decoding error.
        source: prost::DecodeError,
    },
}

/// A TCP connection that carries authenticated frames.
pub struct FramedStream {
    inner: Framed<TcpStream, LengthDelimitedCodec>,
    keys: SharedKeyRing,
    /// Random value chosen by the client for this connection.
    challenge: Bytes,
}

impl FramedStream {
    /// Starts the client side and sends the challenge.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if the challenge cannot be sent.
    pub async fn connect(stream: TcpStream, keys: SharedKeyRing) -> Result<Self, FrameError> {
        let challenge = Bytes::copy_from_slice(&rand::random::<[u8; CHALLENGE_LEN]>());
        let mut inner = codec(stream);
        inner
            .send(challenge.clone())
            .await
            .context(ConnectionSnafu)?;
        Ok(Self {
            inner,
            keys,
            challenge,
        })
    }

    /// Starts the server side and receives the client's challenge.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if no valid challenge arrives.
    pub async fn accept(stream: TcpStream, keys: SharedKeyRing) -> Result<Self, FrameError> {
        let mut inner = codec(stream);
        let first = inner.next().await.context(ClosedSnafu)?;
        let challenge = first.context(ConnectionSnafu)?.freeze();
        ensure!(challenge.len() == CHALLENGE_LEN, NotAuthenticSnafu);
        Ok(Self {
            inner,
            keys,
            challenge,
        })
    }

    /// Returns the underlying connection, to be used without framing.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Closed`] if data from the peer has been buffered but not read.
    pub fn into_stream(self) -> Result<TcpStream, FrameError> {
        let parts = self.inner.into_parts();
        ensure!(parts.read_buf.is_empty(), ClosedSnafu);
        Ok(parts.io)
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if the connection fails.
    pub async fn send<M: Message>(&mut self, message: &M) -> Result<(), FrameError> {
        let payload = message.encode_to_vec();
        let ring = self.keys.load();
        let keys = ring.current();
        let mut frame = BytesMut::with_capacity(1 + TAG_LEN + payload.len());
        frame.put_u8(keys.phase());
        frame.put_slice(tag(keys.envelope_key(), &self.challenge, &payload).as_bytes());
        frame.put_slice(&payload);
        self.inner
            .send(frame.freeze())
            .await
            .context(ConnectionSnafu)
    }

    /// Receives a message.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if the connection fails or is closed, or if the frame fails
    /// authentication or decoding.
    pub async fn receive<M: Message + Default>(&mut self) -> Result<M, FrameError> {
        let next = self.inner.next().await.context(ClosedSnafu)?;
        let frame = next.context(ConnectionSnafu)?;
        let (&phase, rest) = frame.split_first().context(NotAuthenticSnafu)?;
        let (received, payload) = rest
            .split_first_chunk::<TAG_LEN>()
            .context(NotAuthenticSnafu)?;
        let ring = self.keys.load();
        let keys = ring.get(phase).context(NotAuthenticSnafu)?;
        let expected = tag(keys.envelope_key(), &self.challenge, payload);
        ensure!(
            expected == blake3::Hash::from_bytes(*received),
            NotAuthenticSnafu
        );
        M::decode(payload).context(DecodeSnafu)
    }
}

fn codec(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_LEN)
        .new_framed(stream)
}

fn tag(key: &[u8; 32], challenge: &[u8], payload: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(challenge).update(payload);
    hasher.finalize()
}
