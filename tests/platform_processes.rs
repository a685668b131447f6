//! Routers and agents of the users' platform as processes, and what signals do to them. However many
//! stop signals come, and whenever, they are one planned stop, which ends as soon as its work does.

#[path = "../platform/tests/support/mod.rs"]
mod platform;
mod support;

use std::{
    fs::File,
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use platform::{
    Caller, Fault, Request, System, UpstreamStandin, eventually,
    system::{Instance, SETTINGS_PATH_VARIABLE, config, free_ports, ready_status},
    upstream::EVENTS_PER_STREAM,
};
use serde_json::{Value, json};
use support::processes::Process;

/// Grace period of a planned stop: much longer than the work of these tests.
const STOP_GRACE_SECONDS: u64 = 30;
/// Time between two events of a stream.
const EVENT_GAP_MS: u64 = 300;
/// Time between two signals.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(200);

/// A router or an agent of the users' platform, ended when dropped.
struct PlatformProcess {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl PlatformProcess {
    /// Starts `celerystair <role> --platform` with these settings.
    fn start(role: &str, settings: &str) -> Self {
        let path = new_settings_path();
        std::fs::write(&path, settings).expect("the settings are written");
        Self::start_with_file(role, path)
    }

    fn start_with_file(role: &str, settings: PathBuf) -> Self {
        let log = settings.with_extension("log");
        let child = Command::new(env!("CARGO_BIN_EXE_celerystair"))
            .args([role, "--platform"])
            .env(SETTINGS_PATH_VARIABLE, &settings)
            .stdout(File::create(&log).expect("the log is created"))
            .spawn()
            .expect("the process starts");
        Self {
            child,
            settings,
            log,
        }
    }

    /// Returns the lines of this event that the process has written.
    fn logged(&self, event: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).expect("the log is read");
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines.filter(|line: &Value| line["msg"] == event).collect()
    }

    fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_file(&self.settings).ok();
        std::fs::remove_file(&self.log).ok();
    }
}

fn send_signal(process_id: u32, name: &str) {
    let status = Command::new("kill")
        .args([format!("-{name}"), process_id.to_string()])
        .status()
        .expect("kill runs");
    assert!(status.success(), "the process was there");
}

fn new_settings_path() -> PathBuf {
    let name = format!("celerystair-signals-{:016x}", rand::random::<u64>());
    std::env::temp_dir().join(name)
}

/// Returns the settings of a process, and its addresses for callers and for readiness probes.
fn instance_settings(system: &System, number: u8) -> (String, SocketAddr, SocketAddr) {
    let ip = System::ip(number);
    let [callers_port, ready_port] = free_ports(ip);
    let instance = Instance {
        name: "instance-1",
        ip,
        failure_domain: "zone-a",
        callers_port,
        ready_port,
        gossip_port: system.gossip_port,
        store: system.store.address,
        stop_grace_seconds: system.stop_grace_seconds,
    };
    let addresses = [callers_port, ready_port].map(|port| SocketAddr::new(ip, port));
    (instance.settings(), addresses[0], addresses[1])
}

/// A router with its engines and its upstreams of the plain service.
struct Running {
    system: System,
    engines: Vec<UpstreamStandin>,
    upstreams: Vec<UpstreamStandin>,
    router: PlatformProcess,
    callers: SocketAddr,
}

/// Starts a router, and so many engines and plain upstreams, at addresses from `number` on.
fn start_router(number: u8, each: u8) -> Running {
    let mut system = System::start();
    system.stop_grace_seconds = STOP_GRACE_SECONDS;
    start_router_of(system, number, each)
}

fn start_router_of(system: System, number: u8, each: u8) -> Running {
    let numbers = number + 1..=number + each;
    let start_engine = |number| system.start_engine(number, &["m1"]);
    let engines: Vec<_> = numbers.clone().map(start_engine).collect();
    for engine in &engines {
        engine.set_event_gap_ms(EVENT_GAP_MS);
    }
    let start_upstream = |number| system.start_plain_upstream(number + each);
    let upstreams = numbers.map(start_upstream).collect();
    let (settings, callers, ready) = instance_settings(&system, number);
    let router = PlatformProcess::start("router", &settings);
    eventually("the router is ready", || {
        std::net::TcpStream::connect(ready).is_ok() && ready_status(ready) == 200
    });
    Running {
        system,
        engines,
        upstreams,
        router,
        callers,
    }
}

/// Returns how many requests have run.
fn runs(upstreams: &[UpstreamStandin]) -> usize {
    let runs = |upstream: &UpstreamStandin| upstream.executed_requests().len();
    upstreams.iter().map(runs).sum()
}

/// Returns how many requests have arrived, whether they ran or not.
fn arrivals(upstreams: &[UpstreamStandin]) -> usize {
    let arrivals = |upstream: &UpstreamStandin| upstream.arrivals().len();
    upstreams.iter().map(arrivals).sum()
}

fn read_whole_stream(caller: &mut Caller) {
    let stream = caller.read_response().expect("the stream is answered");
    assert!(stream.is_complete, "{stream:?}");
    let text = String::from_utf8_lossy(&stream.body);
    for event in 1..=EVENTS_PER_STREAM {
        let event = format!("id: {event}\n");
        assert_eq!(text.matches(&event).count(), 1, "{text}");
    }
}

/// Sends the signals to a router with a stream and a write in flight, and checks that both are
/// answered and that the process ends by itself, well before its grace period is over.
fn assert_one_planned_stop(number: u8, signals: &[&str]) {
    let mut running = start_router(number, 1);
    let mut streaming = Caller::connect(running.callers);
    streaming.send(&Request::stream("POST /streamed/a", "s1", "m1").bytes());
    running.upstreams[0].queue_fault(Fault::Late);
    let mut writing = Caller::connect(running.callers);
    writing.send(&Request::new("POST /write/a", "w1").body("x").bytes());
    eventually("upstreams run both requests", || {
        runs(&running.engines) == 1 && runs(&running.upstreams) == 1
    });
    let stopped_at = Instant::now();
    for signal in signals {
        running.router.signal(signal);
        std::thread::sleep(BETWEEN_SIGNALS);
    }
    let stream = streaming.read_response().expect("the stream is answered");
    assert!(stream.is_complete, "{stream:?}");
    let text = String::from_utf8_lossy(&stream.body);
    assert!(
        text.contains(&format!("id: {EVENTS_PER_STREAM}\n")),
        "{text}"
    );
    let written = writing.read_response().expect("the write is answered");
    assert_eq!(written.start_line_word(1), "200", "{written:?}");
    let status = running.router.wait();
    assert!(status.success(), "{status}");
    assert!(stopped_at.elapsed() < Duration::from_secs(STOP_GRACE_SECONDS / 2));
    drop(running.system);
}

// A router that was stopping ended at the second SIGTERM, without an answer to what it had accepted.
#[test]
fn a_second_sigterm_cuts_no_request() {
    assert_one_planned_stop(1, &["TERM", "TERM"]);
}

#[test]
fn sigint_after_sigterm_cuts_no_request() {
    assert_one_planned_stop(5, &["TERM", "INT"]);
}

#[test]
fn sigterm_after_sigint_cuts_no_request() {
    assert_one_planned_stop(9, &["INT", "TERM"]);
}

#[test]
fn many_stop_signals_cut_no_request() {
    assert_one_planned_stop(13, &["TERM", "INT", "TERM", "TERM", "INT"]);
}

/// Sends a signal to a process that is reading its settings, gives it these, and returns how it ends.
/// Its settings come from a pipe, which opens once the process has come so far.
fn stop_during_start(role: &str, settings: &str, signals: &[&str]) -> ExitStatus {
    let path = new_settings_path();
    let status = Command::new("mkfifo").arg(&path).status();
    assert!(status.expect("mkfifo runs").success());
    let mut process = PlatformProcess::start_with_file(role, path.clone());
    let mut pipe = File::options()
        .write(true)
        .open(path)
        .expect("the pipe opens");
    for signal in signals {
        process.signal(signal);
        std::thread::sleep(BETWEEN_SIGNALS);
    }
    pipe.write_all(settings.as_bytes()).ok();
    drop(pipe);
    process.wait()
}

// A stop signal during a start ended the process by the signal's default action.
#[test]
fn stop_signals_during_the_start_of_a_router_are_a_planned_stop() {
    let mut system = System::start();
    system.stop_grace_seconds = STOP_GRACE_SECONDS;
    for signals in [&["TERM"][..], &["TERM", "INT", "TERM"]] {
        let (settings, ..) = instance_settings(&system, 17);
        let status = stop_during_start("router", &settings, signals);
        assert!(status.success(), "{signals:?}: {status}");
    }
}

#[test]
fn stop_signals_during_the_start_of_an_agent_are_a_planned_stop() {
    let mut system = System::start();
    system.stop_grace_seconds = STOP_GRACE_SECONDS;
    let engine = system.start_engine(21, &["m1"]);
    for signals in [&["TERM"][..], &["INT", "TERM"]] {
        let (settings, ..) = instance_settings(&system, 20);
        let settings = format!("{settings}app={}\nService=engines\n", engine.address);
        let status = stop_during_start("agent", &settings, signals);
        assert!(status.success(), "{signals:?}: {status}");
    }
}

// The product's own processes stop in the same way.
#[test]
fn signals_after_sigterm_do_not_end_a_router_of_the_product_at_once() {
    let loopback = "127.0.0.1:0";
    let mut store = Process::start("standin", &json!({ "platform": { "listen": loopback } }));
    let platform_url = format!("http://{}", store.standin_address());
    let settings = json!({
        "router": "router-1", "listen": loopback, "peer_listen": loopback,
        "process": { "failure_domain": "a", "platform": { "url": platform_url },
            "log_format": "json", "stop_notice_ms": 1500 },
    });
    let mut router = Process::start("router", &settings);
    router.logged("callers");
    for signal in ["TERM", "TERM", "INT"] {
        send_signal(router.id(), signal);
        std::thread::sleep(BETWEEN_SIGNALS);
    }
    let status = router.wait();
    assert!(status.success(), "{status}");
}

/// Sends so many streams, which may resume, and reads, which are answered late.
fn send_streams_and_reads(running: &Running, each: usize) -> (Vec<Caller>, Vec<Caller>) {
    let send = |request: Request| {
        let mut caller = Caller::connect(running.callers);
        caller.send(&request.bytes());
        caller
    };
    for upstream in &running.upstreams {
        upstream.set_recurring_fault(Some((Fault::Late, 1)));
    }
    let stream = |n| Request::stream("POST /resumed/a", &format!("s{n}"), "m1");
    let streaming: Vec<_> = (0..each).map(|n| send(stream(n))).collect();
    let read = |n| Request::new(&format!("GET /read/{n}"), &format!("r{n}"));
    let reading = (0..each).map(|n| send(read(n))).collect();
    eventually("upstreams run all requests", || {
        runs(&running.engines) == each && runs(&running.upstreams) == each
    });
    (streaming, reading)
}

// A router that had been stopped for a second took the time for its upstreams' silence, and left them.
#[test]
fn a_router_that_stood_still_leaves_no_sound_upstream() {
    const REQUESTS: usize = 3;
    let running = start_router(30, 2);
    let (streaming, reading) = send_streams_and_reads(&running, REQUESTS);
    running.router.signal("STOP");
    std::thread::sleep(Duration::from_millis(1500));
    running.router.signal("CONT");
    for mut caller in streaming {
        read_whole_stream(&mut caller);
    }
    for mut caller in reading {
        let response = caller.read_response().expect("the read is answered");
        assert_eq!(response.start_line_word(1), "200", "{response:?}");
    }
    assert_eq!(arrivals(&running.engines), REQUESTS, "streams");
    assert_eq!(arrivals(&running.upstreams), REQUESTS, "reads");
    let cancelled = |engine: &UpstreamStandin| engine.cancelled_streams();
    assert_eq!(running.engines.iter().map(cancelled).sum::<u32>(), 0);
}

#[test]
fn a_router_that_stood_still_leaves_a_silent_engine() {
    let running = start_router(40, 2);
    for engine in &running.engines {
        engine.set_event_gap_ms(5);
        engine.set_recurring_fault(Some((Fault::Mute, 1)));
    }
    let mut caller = Caller::connect(running.callers);
    caller.send(&Request::stream("POST /resumed/a", "s1", "m1").bytes());
    eventually("an engine runs the stream", || runs(&running.engines) == 1);
    for engine in &running.engines {
        engine.set_recurring_fault(None);
    }
    running.router.signal("STOP");
    std::thread::sleep(Duration::from_millis(500));
    running.router.signal("CONT");
    read_whole_stream(&mut caller);
    assert_eq!(arrivals(&running.engines), 2);
}

/// Grace period of the stops that end before their work does.
const SHORT_GRACE_SECONDS: u64 = 3;

// The process ended before its connections had reported, and without its last lines.
#[test]
fn what_a_stop_cuts_at_its_very_end_is_logged() {
    let mut system = System::start();
    system.stop_grace_seconds = SHORT_GRACE_SECONDS;
    let mut running = start_router_of(system, 50, 1);
    running.engines[0].set_event_gap_ms(2000);
    let mut streaming = Caller::connect(running.callers);
    streaming.send(&Request::stream("POST /streamed/a", "s1", "m1").bytes());
    eventually("the stream runs", || runs(&running.engines) == 1);
    running.router.signal("TERM");
    assert!(running.router.wait().success());
    let given_up = running.router.logged("request_given_up_in_stop");
    assert_eq!(given_up.len(), 1, "{given_up:?}");
    assert_eq!(given_up[0]["request"], "s1", "{given_up:?}");
    let ended = running.router.logged("stop_ended");
    assert_eq!(ended.len(), 1, "{ended:?}");
    assert_eq!(ended[0]["given_up"], 1, "{ended:?}");
    assert_eq!(running.router.logged("stopped").len(), 1);
}

/// Stops the process most of the time until dropped, as on a small part of a core.
struct Slowed {
    is_over: Arc<AtomicBool>,
    slowing: Option<JoinHandle<()>>,
}

impl Slowed {
    fn start(process_id: u32) -> Self {
        const STOPPED: Duration = Duration::from_millis(95);
        const RUNNING: Duration = Duration::from_millis(2);
        let is_over = Arc::new(AtomicBool::new(false));
        let until = is_over.clone();
        let slowing = std::thread::spawn(move || {
            while !until.load(Ordering::SeqCst) {
                send_signal(process_id, "STOP");
                std::thread::sleep(STOPPED);
                send_signal(process_id, "CONT");
                std::thread::sleep(RUNNING);
            }
        });
        Self {
            is_over,
            slowing: Some(slowing),
        }
    }
}

impl Drop for Slowed {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.slowing.take().map(JoinHandle::join);
    }
}

// All were refused in the last 0.8 s, and the process ended without half of the answers.
#[test]
fn all_who_wait_at_a_slow_router_get_an_answer_before_its_stop_ends() {
    const WAITING: usize = 390;
    let mut system = System::start();
    system.stop_grace_seconds = 5;
    let mut config = config(2);
    for route in config["Routes"].as_array_mut().expect("routes") {
        route["TimeoutMs"] = json!(30_000);
        route["TargetLatencyMs"] = json!(5000);
    }
    system.store.write("config", "main", config);
    let mut running = start_router_of(system, 60, 1);
    // No agent runs that could load m2.
    let send = |number| {
        let id = format!("w{number}");
        let request = Request::stream("POST /streamed/a", &id, "m2").deadline_ms(30_000);
        let mut caller = Caller::connect(running.callers);
        caller.send(&request.bytes());
        // Of each event, 200 lines a second are logged.
        std::thread::sleep(Duration::from_millis(8));
        caller
    };
    let waiting: Vec<_> = (0..WAITING).map(send).collect();
    eventually("all wait", || {
        running.router.logged("request_waits").len() == WAITING
    });
    let slowed = Slowed::start(running.router.child.id());
    running.router.signal("TERM");
    let answers = waiting.into_iter().map(|mut caller| caller.read_response());
    let answers: Vec<_> = answers.collect();
    drop(slowed);
    assert!(running.router.wait().success());
    let refused = answers.iter().flatten();
    let refused = refused.filter(|response| response.start_line_word(1) == "503");
    assert_eq!(refused.count(), WAITING);
}
