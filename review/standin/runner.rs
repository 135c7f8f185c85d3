//! A runner of the platform.

use std::{
    fs::File,
    io::{self, Write},
    net::{Shutdown, TcpListener, TcpStream},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::http::{Message, Reader};

/// How a runner is started.
struct Options {
    id: String,
    /// The number of events of a stream; 0 for a plain service.
    events: usize,
    pause: Duration,
    /// The time that a plain request takes.
    work: Duration,
    /// While the switch `unframed` is on, one answer in this many has no length and ends with its connection; 0 for none.
    unframed: usize,
    /// One plain answer in this many says that its connection closes; 0 for none.
    close: usize,
    /// The directory with the record of what ran, and the switches.
    dir: PathBuf,
    runs: Mutex<File>,
    answers: AtomicUsize,
    plain_answers: AtomicUsize,
}

fn option<'a>(options: &[&'a str], name: &str) -> &'a str {
    options.iter().position(|word| *word == name).and_then(|index| options.get(index + 1).copied()).unwrap_or("0")
}

/// Serves until the process is ended.
pub fn run(words: &[&str]) -> i32 {
    let millis = |name| Duration::from_millis(option(words, name).parse().unwrap_or(0));
    let number = |name| option(words, name).parse().unwrap_or(0);
    let dir = PathBuf::from(option(words, "--dir"));
    let Ok(runs) = File::options().append(true).create(true).open(dir.join("runs")) else { return 2 };
    let Ok(listener) = TcpListener::bind(option(words, "--addr")) else { return 2 };
    let options = Arc::new(Options {
        id: option(words, "--id").to_owned(),
        events: number("--events"),
        pause: millis("--pause"),
        work: millis("--work"),
        unframed: number("--unframed"),
        close: number("--close"),
        dir,
        runs: Mutex::new(runs),
        answers: AtomicUsize::new(0),
        plain_answers: AtomicUsize::new(0),
    });
    for tcp in listener.incoming().flatten() {
        let options = options.clone();
        thread::spawn(move || serve(&options, tcp));
    }
    0
}

fn serve(options: &Options, tcp: TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let mut reader = Reader::new(tcp.try_clone()?);
    let mut out = tcp;
    while let Some(mut request) = reader.head()? {
        reader.body(&mut request, false)?;
        if !answer(options, &request, &mut out)? {
            out.shutdown(Shutdown::Both)?;
            return Ok(());
        }
    }
    Ok(())
}

fn plain(out: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    write!(out, "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Answers a request; returns whether the connection is kept.
fn answer(options: &Options, request: &Message, out: &mut TcpStream) -> io::Result<bool> {
    let path = request.first.split(' ').nth(1).unwrap_or_default();
    if path.starts_with("/api/kv-list") {
        plain(out, "200 OK", "Content-Type: application/json\r\n", "{\"epoch\":1,\"next_token\":1,\"held\":[]}")?;
        return Ok(true);
    }
    if path.starts_with("/api/") || path.starts_with("/health") {
        plain(out, "200 OK", &format!("Instance: {}\r\n", options.id), "{}")?;
        return Ok(true);
    }
    let id = request.header("request-id");
    let expected = request.header("expect-instance");
    if !expected.is_empty() && expected != options.id {
        plain(out, "421 Misdirected Request", &format!("Request-Id: {id}\r\nNot-Executed: 1\r\n"), "")?;
        return Ok(true);
    }
    if let Ok(mut runs) = options.runs.lock() {
        let line = format!("{} {id} {} tenant={}\n", options.id, request.first, request.header("tenant"));
        runs.write_all(line.as_bytes())?;
    }
    let is_switched = options.unframed > 0 && options.dir.join("unframed").exists();
    let number = if is_switched { options.answers.fetch_add(1, Ordering::Relaxed) } else { 0 };
    let is_unframed = is_switched && number % options.unframed == options.unframed / 2;
    let mut head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}.{id}\r\n", options.id);
    if options.events == 0 {
        thread::sleep(options.work);
        let body = format!("{id} {}\n{}\n", options.id, "x".repeat(800));
        let closes = options.close > 0 && options.plain_answers.fetch_add(1, Ordering::Relaxed) % options.close == 0;
        head.push_str(if closes { "Connection: close\r\n" } else { "" });
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        out.write_all((head + &body).as_bytes())?;
        return Ok(!closes);
    }
    head.push_str("Content-Type: text/event-stream\r\n");
    head.push_str(if is_unframed { "Connection: close\r\n\r\n" } else { "Transfer-Encoding: chunked\r\n\r\n" });
    let first: usize = request.header("last-event-id").parse().map_or(0, |last: usize| last + 1);
    for number in first..options.events {
        thread::sleep(options.pause);
        let event = format!("id: {number}\ndata: {id} {number} of {}\n\n", options.events);
        let piece = if is_unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
        out.write_all((std::mem::take(&mut head) + &piece).as_bytes())?;
    }
    if !is_unframed {
        out.write_all(b"0\r\n\r\n")?;
    }
    Ok(!is_unframed)
}
