//! Model servers: groups, orders and entries, as the pages describe them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::{Channel, Head, Record, Store, answer, member, text_of, unix_ms};

/// A model: its name, the members of a group, and the time to load it, also from the host.
pub struct Model {
    pub name: &'static str,
    pub size: usize,
    pub load: Duration,
    pub warm: Duration,
}

pub const MODELS: [Model; 2] = [
    Model {
        name: "m0",
        size: 2,
        load: Duration::from_secs(12),
        warm: Duration::from_millis(1_100),
    },
    Model {
        name: "m1",
        size: 2,
        load: Duration::from_secs(12),
        warm: Duration::from_millis(1_100),
    },
];
const SERVED_JOIN: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Whether requests have begun: before the first, loads take a tenth of the time.
pub static HAS_TRAFFIC: AtomicBool = AtomicBool::new(false);

#[derive(Clone, Debug, PartialEq)]
struct Group {
    name: String,
    epoch: u64,
    rank: usize,
    members: Vec<String>,
    model: String,
    state: &'static str,
    /// When the join or the opening ends.
    until: Instant,
}

#[derive(Default)]
struct State {
    group: Option<Group>,
    highest_epoch: u64,
    model: Option<String>,
    staging: Option<(String, Instant)>,
    sequence: u64,
    orders: u64,
    written: String,
    wrote_at: Option<Instant>,
}

/// What a host keeps across restarts of its server: the last staged model.
pub type Host = Arc<Mutex<Option<String>>>;

/// One start of a model server.
#[derive(Clone)]
pub struct ModelServer {
    pub id: String,
    pub domain: String,
    pub zone: String,
    pub address: SocketAddr,
    pub host: Host,
    born: u128,
    state: Arc<Mutex<State>>,
    is_down: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
    record: Record,
}

static STARTS: AtomicU64 = AtomicU64::new(0);

impl ModelServer {
    pub fn start(store: &Store, record: &Record, domain: &str, zone: &str, host: &Host) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let number = STARTS.fetch_add(1, Ordering::Relaxed);
        let server = Self {
            id: format!("i-{:08x}", 0x5f00_0000_u64 + number * 7_919),
            domain: domain.into(),
            zone: zone.into(),
            address,
            host: host.clone(),
            born: unix_ms(),
            state: Arc::default(),
            is_down: Arc::default(),
            channels: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let own = server.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).ok();
            while !own.is_down.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        if let Ok(copy) = stream.try_clone() {
                            own.channels.lock().expect("the channels").push(copy);
                        }
                        let server = own.clone();
                        thread::spawn(move || server.serve(Channel::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let own = server.clone();
        thread::spawn(move || {
            while !own.is_down.load(Ordering::Relaxed) {
                own.report();
                thread::sleep(Duration::from_millis(20));
            }
        });
        server
    }

    /// The server crashes: it says nothing more, and its channels break.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        for channel in self.channels.lock().expect("the channels").drain(..) {
            channel.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    pub fn group_state(&self) -> Option<(String, usize, &'static str)> {
        let state = self.state.lock().expect("the state");
        state.group.as_ref().map(|group| (group.name.clone(), group.rank, group.state))
    }

    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        if let Some((model, until)) = state.staging.clone()
            && until <= now
        {
            *self.host.lock().expect("the host") = Some(model);
            state.staging = None;
        }
        if let Some(group) = state.group.as_mut().filter(|group| group.until <= now) {
            match group.state {
                "joining" => {
                    group.state = "ready";
                    state.model = Some(group.model.clone());
                    *self.host.lock().expect("the host") = Some(group.model.clone());
                }
                "opening" => group.state = "open",
                "closing" => group.state = "ready",
                _ => {}
            }
        }
    }

    /// Writes the entry if it has changed, or a heartbeat is due.
    fn report(&self) {
        let mut state = self.state.lock().expect("the state");
        self.advance(&mut state);
        let body = self.body(&state);
        let is_due = state.wrote_at.is_none_or(|at| at.elapsed() >= HEARTBEAT);
        if state.written == body && !is_due {
            return;
        }
        state.sequence += 1;
        state.wrote_at = Some(Instant::now());
        let sequence = state.sequence;
        state.written = body.clone();
        drop(state);
        let spec = format!(
            "{{\"service\":\"models\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"batch_slots\":17,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\
             \"sequence\":{sequence},\"born\":{},{body}}}",
            self.address, self.zone, self.born
        );
        if !self.is_down.load(Ordering::Relaxed) {
            self.store.put("servers", &self.id, &spec);
        }
    }

    fn body(&self, state: &State) -> String {
        let models = state.model.as_ref().map_or(String::new(), |model| {
            format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}")
        });
        let staged = self.host.lock().expect("the host").clone();
        let staged = staged.map_or(String::new(), |model| format!("\"{model}\""));
        let group = state.group.as_ref().map_or(String::new(), |group| {
            let shown = if group.state == "opening" { "ready" } else { group.state };
            format!(
                ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{shown}\"}}",
                group.name, group.epoch, group.rank
            )
        });
        format!("\"domain\":\"{}\",\"models\":[{models}],\"staged\":[{staged}]{group}", self.domain)
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(head)) = channel.head() {
            let Ok(body) = channel.body(&head) else { return };
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let is_other =
                head.field("x-celeryhaven-expect-instance").is_some_and(|id| id != self.id);
            let text = match head.path() {
                _ if is_other => {
                    let fields = format!("x-celeryhaven-served-by: {}\r\n", self.id);
                    let id = head.field("x-celeryhaven-attempt-id");
                    let id = id
                        .map_or(String::new(), |id| format!("x-celeryhaven-attempt-id: {id}\r\n"));
                    answer("421 Misdirected Request", &(fields + &id), "")
                }
                "/api/report" => {
                    let state = self.state.lock().expect("the state");
                    let body = format!(
                        "{{\"busy\":false,\"queued\":0,\"in_flight\":0,\"kv_used\":0,\
                         \"kv_total\":1860000,\"handles\":0,\"sequence\":{},\"born\":{},{}}}",
                        state.orders,
                        self.born,
                        self.body(&state)
                    );
                    answer("200 OK", "content-type: application/json\r\n", &body)
                }
                "/api/order" => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    let status = self.order(&body);
                    self.report();
                    answer(status, "", "")
                }
                _ => self.request(&head),
            };
            if channel.write(&text).is_err() {
                return;
            }
        }
    }

    fn request(&self, head: &Head) -> String {
        let id = head.field("x-celeryhaven-attempt-id").unwrap_or_default();
        let mut state = self.state.lock().expect("the state");
        self.advance(&mut state);
        let group = state.group.clone();
        drop(state);
        let id_field = format!("x-celeryhaven-attempt-id: {id}\r\n");
        if !group.is_some_and(|group| group.state == "open" && group.rank == 0) {
            let fields = format!("{id_field}x-celeryhaven-not-executed: 1\r\n");
            return answer("503 Service Unavailable", &fields, "");
        }
        self.record.add(format!("run      {id} at {}", self.id));
        let fields = format!(
            "{id_field}x-celeryhaven-response-seal: s.{id}\r\ncontent-type: text/event-stream\r\n"
        );
        answer("200 OK", &fields, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    }

    fn order(&self, body: &str) -> &'static str {
        let text = |name: &str| member(body, name).map(text_of).unwrap_or_default();
        let mut state = self.state.lock().expect("the state");
        self.advance(&mut state);
        let (name, epoch) = (text("group"), text("epoch").parse::<u64>().unwrap_or(0));
        let is_own = state.group.as_ref().is_some_and(|own| own.name == name && own.epoch == epoch);
        let model = text("model");
        let staged = self.host.lock().expect("the host").clone();
        let load = |model: &str| {
            let load = MODELS.iter().find(|known| known.name == model).map(|known| known.load);
            let load = load.unwrap_or_default();
            if HAS_TRAFFIC.load(Ordering::Relaxed) { load } else { load / 10 }
        };
        let status = match text("operation").as_str() {
            "join" => {
                let members = member(body, "members").unwrap_or("[]");
                let members = members.trim_matches(['[', ']']).split(',').map(text_of);
                let members: Vec<String> = members.collect();
                let is_same = state.group.as_ref().is_some_and(|own| own.members == members);
                if epoch < state.highest_epoch || is_own && !is_same {
                    return "412 Precondition Failed";
                }
                if is_own {
                    return "200 OK";
                }
                let Some(rank) = members.iter().position(|id| *id == self.id) else {
                    return "409 Conflict";
                };
                let time = match () {
                    () if state.model.as_ref() == Some(&model) => SERVED_JOIN,
                    () if staged.as_ref() == Some(&model) => {
                        let known = MODELS.iter().find(|known| known.name == model);
                        known.map(|known| known.warm).unwrap_or_default()
                    }
                    () => load(&model),
                };
                state.highest_epoch = epoch;
                let until = Instant::now() + time;
                let group = Group { name, epoch, rank, members, model, state: "joining", until };
                state.group = Some(group);
                "202 Accepted"
            }
            "open" => match state.group.as_mut().filter(|_| is_own) {
                Some(own) if own.rank == 0 && own.state == "ready" => {
                    (own.state, own.until) = ("opening", Instant::now() + FORM);
                    "202 Accepted"
                }
                Some(own) if matches!(own.state, "open" | "opening") => "200 OK",
                _ => "409 Conflict",
            },
            "close" => match state.group.as_mut().filter(|_| is_own) {
                Some(own) if own.state == "open" => {
                    (own.state, own.until) = ("closing", Instant::now());
                    "202 Accepted"
                }
                _ => "200 OK",
            },
            "leave" if is_own => {
                state.group = None;
                "202 Accepted"
            }
            "leave" => "200 OK",
            "stage" if staged.as_ref() == Some(&model) => "200 OK",
            "stage" => {
                let until = Instant::now() + load(&model);
                state.staging = Some((model, until));
                "202 Accepted"
            }
            _ => "400 Bad Request",
        };
        if status.starts_with("202") {
            state.orders += 1;
        }
        status
    }
}

/// Removes entries of servers that have been silent for three heartbeats.
pub fn remove_lapsed(store: &Store, last_seen: &BTreeMap<String, Instant>) {
    for (id, at) in last_seen {
        if at.elapsed() >= HEARTBEAT * 3 {
            store.remove("servers", id);
        }
    }
}

/// The configuration with the service of the models, and one stream route for it.
pub fn config(version: u64) -> String {
    let models = MODELS.map(|model| {
        format!(
            "{{\"name\":\"{}\",\"size\":{},\"share\":0.5,\"pace\":1.0,\"load_time_s\":{},\"warm_s\":{}}}",
            model.name,
            model.size,
            model.load.as_secs_f64(),
            model.warm.as_secs_f64()
        )
    });
    let models = models.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"draft\",\"host\":\"h.example\",\
         \"path_prefix\":\"/draft/\",\"route_kind\":\"stream\",\"timeout_ms\":6000,\"slo_ms\":400,\
         \"priority\":1,\"service\":\"models\",\"max_attempts\":2,\"anonymous\":false,\
         \"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}}],\"services\":[{{\
         \"name\":\"models\",\"health_path\":\"/health\",\"max_conns\":438,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"batch_slots\":17,\"kv_capacity_tokens\":1860000,\
         \"kv_token_bytes\":96256,\"stride\":5,\"models\":[{models}],\"step_ms\":7.8,\
         \"per_seq_ms\":0.0947,\"context_per_k\":0.0096,\"read_per_s\":45900.0,\
         \"pairs_per_m\":0.433,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":5.0,\
         \"loads_at_once\":7,\"delays\":[],\"usual\":{{\"prompt\":979,\"answer\":154}},\
         \"cached_prefixes\":1,\"far_x\":2.5,\"form_ms\":300.0}}}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"t\",\"api_keys\":[\"k\"],\
         \"priority\":1}}]}}"
    )
}
