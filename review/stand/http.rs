//! A small HTTP/1.1 server and client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

pub type Handler = Arc<dyn Fn(Request) -> (u16, String) + Send + Sync>;

/// Serves requests until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    for stream in listener.incoming().flatten() {
        let handler = Arc::clone(&handler);
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(copy) = stream.try_clone() else { return };
            let mut reader = BufReader::new(copy);
            let mut writer = stream;
            while let Some(request) = read_request(&mut reader) {
                let (status, body) = handler(request);
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let path = words.nth(1)?.to_owned();
    let (headers, body) = read_rest(reader)?;
    Some(Request {
        path,
        headers,
        body,
    })
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let (name, value) = (name.to_ascii_lowercase(), value.trim().to_owned());
        if name == "content-length" {
            length = value.parse().ok()?;
        }
        headers.push((name, value));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends one request on a connection of its own; `None` without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        text += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, body))
}
