//! HTTP/1.1 over TCP as the stand-ins need it: one thread for each connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A request or a response without the parts that the stand-ins do not use.
pub struct Message {
    /// First line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` when the connection ended before it began.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    let head = loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        match stream.read(&mut chunk)? {
            0 if bytes.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    };
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let mut lines = text.lines();
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    while bytes.len() < head + length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    }
    let body = String::from_utf8_lossy(&bytes[head..head + length]).into_owned();
    Ok(Some(Message {
        first,
        headers,
        body,
    }))
}

/// Sends a request on a connection of its own and returns the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        head += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    read_message(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Answers a request with a status and a body.
pub type Handler = Arc<dyn Fn(&Message) -> (u16, String) + Send + Sync>;

/// A listener whose process can end: then nothing listens and all connections are reset or closed.
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let ended = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&ended);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stopping.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (handler, stopping) = (Arc::clone(&handler), Arc::clone(&stopping));
                thread::spawn(move || serve(stream, &handler, &stopping));
            }
        });
        Ok(Self { address, ended })
    }

    /// Ends the process: open connections are closed without an answer.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(500));
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, ended: &AtomicBool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    while let Some(request) = read_message(&mut stream)? {
        if ended.load(Ordering::Acquire) {
            return Ok(());
        }
        let (status, body) = handler(&request);
        if ended.load(Ordering::Acquire) {
            return Ok(());
        }
        let response = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(response.as_bytes())?;
    }
    Ok(())
}
