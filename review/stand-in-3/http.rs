//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A connection with what was read and not used.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A head: its first line, and its fields with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// The value of a parameter in the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let value = query.split('&').find_map(|it| it.strip_prefix(&format!("{name}=")))?;
        Some(unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

const HEAD_BYTES_MAX: usize = 64 * 1_024;

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16_384];
        let read = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..read]);
        Ok(read)
    }

    /// The next head; `None` if the connection ends before one.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|it| it.split_once(':'));
                let fields =
                    fields.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
                return Ok(Some(Head { first, fields: fields.collect() }));
            }
            if self.buf.len() > HEAD_BYTES_MAX {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// A body of `length` bytes.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, fields: &str, body: &str) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
        self.write(format!("{head}{body}").as_bytes())
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub is_sealed: bool,
    pub code: String,
    pub took: Duration,
}

impl Answer {
    pub fn none(started: Instant) -> Answer {
        Answer { status: 0, is_sealed: false, code: String::new(), took: started.elapsed() }
    }
}

/// Sends a request on an open connection and waits for the whole answer until `timeout`.
pub fn exchange(conn: &mut Conn, head: &str, body: &[u8], timeout: Duration) -> Answer {
    let started = Instant::now();
    let _ = conn.stream.set_read_timeout(Some(timeout));
    let _ = conn.stream.set_write_timeout(Some(timeout));
    if conn.write(head.as_bytes()).is_err() || conn.write(body).is_err() {
        return Answer::none(started);
    }
    let Ok(Some(head)) = conn.head() else {
        return Answer::none(started);
    };
    if conn.body(head.length()).is_err() {
        return Answer::none(started);
    }
    Answer {
        status: head.status(),
        is_sealed: head.get("x-server-seal").is_some(),
        code: head.get("x-sesamelock-code").unwrap_or_default().to_owned(),
        took: started.elapsed(),
    }
}

/// Sends a request on a new connection.
pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Answer {
    match Conn::connect(address) {
        Ok(mut conn) => exchange(&mut conn, head, body, timeout),
        Err(_) => Answer::none(Instant::now()),
    }
}
