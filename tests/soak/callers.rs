//! Callers that keep their connections open until the router is gone, and remember what they were
//! told.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    checks::KINDS,
    fleet::Fleet,
    support::{
        Request, Response,
        http::{read_head, read_message},
        system::{ENGINE_SERVICE, PLAIN_SERVICE},
        upstream::EVENTS_PER_STREAM,
    },
};

/// What callers ask for, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Calling {
    /// Callers at once.
    pub callers: usize,
    /// The kinds that they draw from.
    pub kinds: &'static [Kind],
    /// The pause between two requests of one caller.
    pub pause_ms: (u64, u64),
}

/// A few hurried callers that call for everything.
pub const HURRIED: Calling = Calling {
    callers: 8,
    kinds: &KINDS,
    pause_ms: (1, 25),
};
/// Callers that hold their connections idle, for as long as they may.
pub const PATIENT: Calling = Calling {
    callers: 24,
    kinds: &KINDS,
    pause_ms: (1, 4000),
};
/// How often a caller looks whether it may still use a connection that is idle.
const LOOK_MS: u64 = 20;
/// Longer than any request may take.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Kinds of requests, by what may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A read, which may be repeated.
    Read,
    /// A write, which may run once.
    Write,
    /// A stream, which may run once.
    Stream,
    /// A stream that may be resumed.
    ResumedStream,
}

impl Kind {
    /// Whether it may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Read | Self::ResumedStream)
    }

    /// The service that it is for.
    pub fn service(self) -> &'static str {
        match self {
            Self::Read | Self::Write => PLAIN_SERVICE,
            Self::Stream | Self::ResumedStream => ENGINE_SERVICE,
        }
    }

    fn request(self, id: &str) -> Request {
        match self {
            Self::Read => Request::new("GET /read/a", id),
            Self::Write => Request::new("POST /write/a", id).body("x"),
            Self::Stream => Request::stream("POST /streamed/a", id, "m1"),
            Self::ResumedStream => Request::stream("POST /resumed/a", id, "m2"),
        }
    }
}

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer of an upstream.
    Answered,
    /// A refusal that promises that it has not run.
    NotRun,
    /// A failure that promises nothing.
    Failed(String),
    /// The connection ended within the answer, visibly.
    Cut,
    /// The connection ended without an answer, so many milliseconds after the request was sent.
    Lost(u64),
    /// What must not be.
    Wrong(String),
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Told {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// When it was sent.
    pub sent_at: Instant,
    /// What came of it.
    pub outcome: Outcome,
}

impl Told {
    /// Whether it got its whole answer.
    pub fn is_answered(&self) -> bool {
        self.outcome == Outcome::Answered
    }
}

/// Running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    told: Arc<Mutex<Vec<Told>>>,
}

/// Starts them.
pub fn start(fleet: &Fleet, seed: u64, calling: Calling) -> Callers {
    let (stop, told) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let routers = fleet.router_addresses();
    let threads = (0..calling.callers).map(|number| {
        let mut caller = Caller {
            number,
            routers: routers.clone(),
            rng: StdRng::seed_from_u64(seed * 1000 + number as u64),
            calling,
            connection: None,
            idle_limit_ms: fleet.idle_limit_ms(),
            told: Arc::clone(&told),
        };
        let stop = Arc::clone(&stop);
        std::thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                caller.call(count);
                count += 1;
            }
        })
    });
    let threads = threads.collect();
    Callers {
        stop,
        threads,
        told,
    }
}

impl Callers {
    /// Stops them; gives all that they were told.
    pub fn stop(self) -> Vec<Told> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller");
        }
        std::mem::take(&mut *self.told.lock().expect("what was told"))
    }
}

struct Caller {
    number: usize,
    routers: Vec<SocketAddr>,
    rng: StdRng,
    calling: Calling,
    connection: Option<(usize, BufReader<TcpStream>)>,
    idle_limit_ms: Arc<AtomicU64>,
    told: Arc<Mutex<Vec<Told>>>,
}

impl Caller {
    fn call(&mut self, count: u64) {
        let Calling {
            kinds, pause_ms, ..
        } = self.calling;
        let pause_ms = self.rng.random_range(pause_ms.0..=pause_ms.1);
        self.pause(pause_ms);
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let id = format!("c{}-{count}", self.number);
        let Some((router, mut connection)) = self.connection.take().or_else(|| self.connect())
        else {
            return;
        };
        let sent_at = Instant::now();
        let (outcome, is_kept) = exchange(&mut connection, kind, &id);
        if is_kept {
            self.connection = Some((router, connection));
        }
        self.told.lock().expect("what was told").push(Told {
            id,
            kind,
            sent_at,
            outcome,
        });
    }

    /// Waits, and gives the connection up once it has been idle for four fifths of the limit in force.
    fn pause(&mut self, pause_ms: u64) {
        let since = Instant::now();
        loop {
            let idle_ms = since.elapsed().as_millis() as u64;
            if idle_ms > self.idle_limit_ms.load(Ordering::Relaxed) * 4 / 5 {
                self.connection = None;
            }
            if idle_ms >= pause_ms {
                return;
            }
            std::thread::sleep(Duration::from_millis(LOOK_MS.min(pause_ms - idle_ms)));
        }
    }

    /// A connection to any router that takes one.
    fn connect(&mut self) -> Option<(usize, BufReader<TcpStream>)> {
        let router = self.rng.random_range(0..self.routers.len());
        let stream = TcpStream::connect(self.routers[router]).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        Some((router, BufReader::new(stream)))
    }
}

/// Sends the request and reads what comes; whether the connection is kept.
fn exchange(connection: &mut BufReader<TcpStream>, kind: Kind, id: &str) -> (Outcome, bool) {
    let bytes = kind.request(id).bytes();
    if connection.get_mut().write_all(&bytes).is_err() {
        return (Outcome::Lost(0), false);
    }
    let since = Instant::now();
    let Some(answer) = read_message(connection) else {
        let is_silent = since.elapsed() >= TIMEOUT;
        let outcome = if is_silent {
            Outcome::Wrong(format!("{id}: no answer within {TIMEOUT:?}"))
        } else {
            Outcome::Lost(since.elapsed().as_millis() as u64)
        };
        return (outcome, false);
    };
    let closes = answer.header("connection") == Some("close");
    let outcome = judge(&answer, kind, id);
    let is_kept = !closes && answer.is_complete && !matches!(outcome, Outcome::Wrong(_));
    (outcome, is_kept)
}

fn judge(answer: &Response, kind: Kind, id: &str) -> Outcome {
    let status: u16 = answer.start_line_word(1).parse().unwrap_or_default();
    match status {
        200 if answer.header("celerystair-request-id") != Some(id) => {
            Outcome::Wrong(format!("{id}: the answer of another request: {answer:?}"))
        }
        200 if !answer.is_complete => Outcome::Cut,
        200 => judge_body(answer, kind, id),
        408 | 421 | 429 | 503 => Outcome::NotRun,
        500..=599 => Outcome::Failed(answer.start_line.clone()),
        _ => Outcome::Wrong(format!("{id}: {answer:?}")),
    }
}

fn judge_body(answer: &Response, kind: Kind, id: &str) -> Outcome {
    let text = String::from_utf8_lossy(&answer.body);
    let is_right = match kind {
        Kind::Read | Kind::Write => text.starts_with("answer of desk-"),
        Kind::Stream | Kind::ResumedStream => {
            let events = (1..=EVENTS_PER_STREAM).map(|n| format!("id: {n}\ndata: part {n}\n\n"));
            text == events.collect::<String>()
        }
    };
    if is_right {
        Outcome::Answered
    } else {
        Outcome::Wrong(format!("{id}: not the upstream's answer: {text:?}"))
    }
}

/// Whether a router serves a request of this kind now.
pub fn is_served(router: SocketAddr, kind: Kind, id: &str) -> bool {
    let Ok(stream) = TcpStream::connect(router) else {
        return false;
    };
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    exchange(&mut BufReader::new(stream), kind, id).0 == Outcome::Answered
}

/// The status of a read below `path`; `None` if there is no answer.
pub fn status_of(router: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(router).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let request = Request::new(&format!("GET {path}a"), id);
    stream.write_all(&request.bytes()).ok()?;
    let head = read_head(&mut BufReader::new(stream))?;
    head.start_line_word(1).parse().ok()
}
