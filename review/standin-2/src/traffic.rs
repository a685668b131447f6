//! Clients that send requests all the while.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use crate::{
    client::{Answer, Client, next_id},
    names::Names,
    record::Record,
};

pub struct Traffic {
    is_over: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
    threads: Vec<JoinHandle<()>>,
}

/// What clients send.
#[derive(Clone)]
pub struct Load {
    pub routers: Vec<SocketAddr>,
    /// Method and path with the headers of each kind of request, which are sent in turn.
    pub requests: Vec<(String, String)>,
    pub clients: usize,
    pub pause: Duration,
    pub deadline_ms: u64,
}

impl Traffic {
    pub fn start(load: &Load, names: &Arc<Names>, record: &Record) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
        let threads = (0..load.clients)
            .map(|number| {
                let (load, names, record) = (load.clone(), names.clone(), record.clone());
                let (is_over, answers) = (is_over.clone(), answers.clone());
                std::thread::spawn(move || {
                    let router = load.routers[number % load.routers.len()];
                    let mut client = Client::new(router, &names, &record);
                    let mut count = number;
                    while !is_over.load(Ordering::SeqCst) {
                        let began = Instant::now();
                        let (request, more) = &load.requests[count % load.requests.len()];
                        count += 1;
                        let answer = client.call(request, &next_id(), load.deadline_ms, more);
                        answers.lock().expect("not poisoned").push(answer);
                        std::thread::sleep(load.pause.saturating_sub(began.elapsed()));
                    }
                })
            })
            .collect();
        Self {
            is_over,
            answers,
            threads,
        }
    }

    /// Ends the clients and returns their answers.
    pub fn end(self) -> Vec<Answer> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().ok();
        }
        let answers = self.answers.lock().expect("not poisoned");
        answers.clone()
    }
}
