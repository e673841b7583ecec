//! Connections of other hosts to the listener for peers.

use std::io::{Error, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::peer::ClusterKeys;
use jujubewinch::peer::channel::{FrameReader, FrameWriter};
use jujubewinch::peer::frame::Frame;
use jujubewinch::peer::handshake::{self, Session};

use super::ANSWER_TIMEOUT;

/// Identifier of the host that the connections pretend to come from.
const HOST: &str = "127.0.0.9";

/// Performs the handshake of another host.
pub fn open_connection(stream: &mut TcpStream) -> std::io::Result<Session> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    handshake::open(stream, HOST, &ClusterKeys::unauthenticated())
}

/// Opens a connection as another host does, until a ping on it is answered.
pub fn assert_peer_answers(case: &str, address: SocketAddr) {
    let until = Instant::now() + ANSWER_TIMEOUT;
    while let Err(error) = ping(address) {
        assert!(Instant::now() < until, "{case}: no answer: {error}");
        thread::sleep(Duration::from_millis(100));
    }
}

fn ping(address: SocketAddr) -> std::io::Result<()> {
    match exchange_frame(address, &Frame::Ping)? {
        Frame::Pong => Ok(()),
        other => Err(Error::other(format!("unexpected frame {other:?}"))),
    }
}

/// Sends a frame as another host does, and returns the frame that answers it.
pub fn exchange_frame(address: SocketAddr, frame: &Frame) -> std::io::Result<Frame> {
    let mut stream = TcpStream::connect(address)?;
    let session = open_connection(&mut stream)?;
    FrameWriter::new(&stream, session.client_secret).write(frame)?;
    FrameReader::new(&stream, session.server_secret).read()
}

/// Performs the handshake of another host and announces a frame.
pub fn open_frame(stream: &mut TcpStream, announced_bytes: usize) -> std::io::Result<()> {
    open_connection(stream)?;
    stream.write_all(&u32::try_from(announced_bytes).unwrap().to_be_bytes())
}
