//! Mutual authentication at the start of a connection.

use std::io::{self, ErrorKind, Read, Write};

use super::frame::{
    ClientHello, MAX_HANDSHAKE_BYTES, NONCE_BYTES, ServerHello, ServerProof, decode, encode,
    length_prefixed, read_body,
};
use super::keys::{ClusterKeys, code, codes_match, hmac_sha256};
use crate::ids::HostId;

const CLIENT_PROOF: &[u8] = b"client proof";
const SERVER_PROOF: &[u8] = b"server proof";
const CLIENT_TO_SERVER: &[u8] = b"client to server";
const SERVER_TO_CLIENT: &[u8] = b"server to client";

/// Result of a handshake.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    /// Identifier of the host that opened the connection.
    pub client: HostId,
    /// Secret that authenticates the frames of the opening end.
    pub client_secret: [u8; 32],
    /// Secret that authenticates the frames of the accepting end.
    pub server_secret: [u8; 32],
}

impl Session {
    fn derive(secret: &[u8], host: &str, server: &[u8], client: &[u8]) -> Self {
        let derive = |label: &[u8]| hmac_sha256(secret, &[label, server, client, host.as_bytes()]);
        Self {
            client: host.to_owned(),
            client_secret: derive(CLIENT_TO_SERVER),
            server_secret: derive(SERVER_TO_CLIENT),
        }
    }
}

/// Performs the handshake as the accepting end.
///
/// # Errors
///
/// The error of the stream, or `PermissionDenied` when the other end does not know a valid key.
pub fn accept(stream: &mut (impl Read + Write), keys: &ClusterKeys) -> io::Result<Session> {
    let nonce = rand::random::<[u8; NONCE_BYTES]>();
    stream.write_all(&length_prefixed(&encode(&ServerHello { nonce })?)?)?;
    let hello: ClientHello = decode(&read_body(stream, MAX_HANDSHAKE_BYTES)?)?;
    let host = hello.host.as_bytes();
    let key = keys
        .find(hello.key_id)
        .ok_or_else(|| denied("unknown cluster key"))?;
    let expected = code(&key.secret, &[CLIENT_PROOF, &nonce, &hello.nonce, host]);
    if !codes_match(&expected, &hello.proof) {
        return Err(denied("wrong cluster key"));
    }
    let proof = code(&key.secret, &[SERVER_PROOF, &nonce, &hello.nonce, host]);
    stream.write_all(&length_prefixed(&encode(&ServerProof { proof })?)?)?;
    Ok(Session::derive(
        &key.secret,
        &hello.host,
        &nonce,
        &hello.nonce,
    ))
}

/// Performs the handshake as the opening end.
///
/// # Errors
///
/// The error of the stream, or `PermissionDenied` when the other end does not know the key.
pub fn open(
    stream: &mut (impl Read + Write),
    host: &str,
    keys: &ClusterKeys,
) -> io::Result<Session> {
    let server: ServerHello = decode(&read_body(stream, MAX_HANDSHAKE_BYTES)?)?;
    let nonce = rand::random::<[u8; NONCE_BYTES]>();
    let key = keys.current();
    let proof = code(
        &key.secret,
        &[CLIENT_PROOF, &server.nonce, &nonce, host.as_bytes()],
    );
    let hello = ClientHello {
        host: host.to_owned(),
        nonce,
        key_id: key.id,
        proof,
    };
    stream.write_all(&length_prefixed(&encode(&hello)?)?)?;
    let reply: ServerProof = decode(&read_body(stream, MAX_HANDSHAKE_BYTES)?)?;
    let expected = code(
        &key.secret,
        &[SERVER_PROOF, &server.nonce, &nonce, host.as_bytes()],
    );
    if !codes_match(&expected, &reply.proof) {
        return Err(denied("the accepting host has another cluster key"));
    }
    Ok(Session::derive(&key.secret, host, &server.nonce, &nonce))
}

fn denied(reason: &str) -> io::Error {
    io::Error::new(ErrorKind::PermissionDenied, reason)
}
