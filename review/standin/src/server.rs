//! A server of a plain service: answers each request at once, and says what it ran.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{Message, read_message, write_response},
    wire,
};

/// A request that came in, and whether it was run.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub has_run: bool,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    born_unix_ms: u64,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    is_leaving: Arc<AtomicBool>,
}

/// The time that a request takes.
const WORK: Duration = Duration::from_millis(5);

impl Server {
    pub fn start(address: SocketAddr, id: &str, service: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the server's address is free");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("it has an address"),
            service: service.to_owned(),
            born_unix_ms: unix_ms(),
            arrivals: Arc::default(),
            is_leaving: Arc::default(),
        };
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                std::thread::spawn(move || server.serve(&stream));
            }
        });
        server
    }

    /// Its entry in the store's list.
    pub fn entry(&self, state: &str, cold_left_ms: u64, count: u64) -> Value {
        json!({"Service": self.service, "Address": self.address.to_string(), "Zone": "zone-a",
            "Version": "v1", "Slots": 6, "State": state, "ColdLeftMs": cold_left_ms, "Seq": count,
            "born": self.born_unix_ms})
    }

    /// From now on all its answers say that it leaves.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    fn serve(&self, stream: &TcpStream) {
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_secs(10))).ok();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let at = Instant::now();
            let expected = request.header(&wire::header("Expect-Instance"));
            let is_meant = expected.is_none_or(|id| id == self.id);
            self.arrivals.lock().expect("not poisoned").push(Arrival {
                at,
                id: request_id(&request),
                path: request.path().to_owned(),
                has_run: is_meant,
            });
            let is_leaving = self.is_leaving.load(Ordering::Relaxed);
            let leaving = (wire::text("leaving").to_owned(), "1".to_owned());
            let mut headers = if is_leaving {
                vec![leaving]
            } else {
                Vec::new()
            };
            if !is_meant {
                headers.push((wire::header("Instance-Id"), self.id.clone()));
                if !write_response(stream, 421, &headers, b"") {
                    return;
                }
                continue;
            }
            std::thread::sleep(WORK);
            headers.extend([
                (wire::header("Request-Id"), request_id(&request)),
                (wire::header("Server-Seal"), format!("seal.{}", self.id)),
                ("Keep-Alive".to_owned(), "timeout=10".to_owned()),
            ]);
            let body = format!("answer of {} ({})", self.id, self.service);
            if !write_response(stream, 200, &headers, body.as_bytes()) {
                return;
            }
        }
    }
}

pub fn request_id(request: &Message) -> String {
    let id = request.header(&wire::header("Request-Id"));
    id.unwrap_or_default().to_owned()
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
