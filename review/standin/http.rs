//! HTTP/1.1 over blocking sockets: a client that opens a connection for each request, and a server with a thread for
//! each connection.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the whole response within `timeout` of each read.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {addr}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    ));
    (&stream).write_all((head + body).as_bytes())?;
    read_response(&mut BufReader::new(&stream))
}

fn read_response<R: BufRead>(reader: &mut R) -> io::Result<Response> {
    let first = read_line(reader)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status line"))?;
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Response { status, body })
}

fn read_line<R: BufRead>(reader: &mut R) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers<R: BufRead>(reader: &mut R) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body<R: Read>(reader: &mut R, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A server that can be closed like a process that ends: all its connections break.
pub struct Server {
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    addr: SocketAddr,
}

impl Server {
    pub fn start<H>(addr: SocketAddr, handler: H) -> io::Result<Server>
    where
        H: Fn(Request) -> (u16, String) + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(addr)?;
        let server = Server {
            is_closed: Arc::default(),
            streams: Arc::default(),
            addr,
        };
        let (is_closed, streams) = (Arc::clone(&server.is_closed), Arc::clone(&server.streams));
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let (handler, is_closed) = (Arc::clone(&handler), Arc::clone(&is_closed));
                thread::spawn(move || {
                    let _ = serve(&stream, &*handler, &is_closed);
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        Ok(server)
    }

    /// Closes the listener and all connections.
    pub fn close(self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve<H>(stream: &TcpStream, handler: &H, is_closed: &AtomicBool) -> io::Result<()>
where
    H: Fn(Request) -> (u16, String),
{
    let mut reader = BufReader::new(stream);
    loop {
        let first = read_line(&mut reader)?;
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        if is_closed.load(Ordering::SeqCst) {
            return Ok(());
        }
        let (status, text) = handler(Request {
            method: method.to_owned(),
            path: path.to_owned(),
            headers,
            body,
        });
        if status == 0 || is_closed.load(Ordering::SeqCst) {
            return Ok(());
        }
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        let mut stream = stream;
        stream.write_all((head + &text).as_bytes())?;
    }
}
