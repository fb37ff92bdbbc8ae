use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celeryhaven_derives::state;
use serde_json::{Value, json};
use smol::Timer;
use smol::io::AsyncReadExt;
use trillium_client::{Client, Conn};

use crate::caller::events::EventReader;
use crate::caller::{Outcome, Reply};
use crate::engine::expected_text;
use crate::http::unix_us;

state! {
    /// A completion request.
    pub struct Ask {
        /// The name of the model.
        pub model: String,
        /// The prompt.
        pub prompt: String,
        /// The maximum number of tokens to generate.
        pub tokens: u32,
        /// Whether the answer is streamed.
        pub stream: bool,
        /// Additional request headers.
        pub headers: Vec<(&'static str, String)>,
    }

    /// A call to a plain service.
    pub struct PlainCall {
        /// The method.
        pub method: &'static str,
        /// The path, such as `/services/NAME/PATH`.
        pub path: String,
        /// The body.
        pub body: String,
        /// Additional request headers.
        pub headers: Vec<(&'static str, String)>,
    }
}

impl Ask {
    /// Creates a streaming request.
    pub fn new(model: impl Into<String>, prompt: impl Into<String>, tokens: u32) -> Self {
        let headers = Vec::new();
        Self { model: model.into(), prompt: prompt.into(), tokens, stream: true, headers }
    }

    /// Sets whether the answer is streamed or sent as one response.
    pub fn with_stream(mut self, stream: bool) -> Self {
        self.stream = stream;
        self
    }

    /// Adds a request header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

impl PlainCall {
    /// Creates a call with an empty body.
    pub fn new(method: &'static str, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), body: String::new(), headers: Vec::new() }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<String>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a request header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// An HTTP client that sends requests with one API key and validates the answers.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    api_key: String,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller with a timeout of 60 s and a new connection for each request.
    ///
    /// With keep-alive, the client library drains a dropped response to reuse its connection.
    /// Without it, dropping a response closes the connection, as a caller that disconnects does.
    pub fn new(api_key: impl Into<String>) -> Self {
        let config = trillium_smol::ClientConfig::new().with_nodelay(true);
        let client = Client::new(config).without_keepalive();
        Self { client, api_key: api_key.into(), timeout: Duration::from_secs(60) }
    }

    /// Sets how long a request may take, in total.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reuses pooled connections for later requests.
    pub fn with_kept_connections(mut self) -> Self {
        self.client = Client::new(trillium_smol::ClientConfig::new().with_nodelay(true));
        self
    }

    /// Sends a completion request and checks that the answer is complete and belongs to it.
    pub async fn complete(&self, address: SocketAddr, ask: &Ask) -> Reply {
        let body = json!({
            "model": ask.model, "prompt": ask.prompt, "max_tokens": ask.tokens,
            "stream": ask.stream,
        });
        let url = format!("http://{address}/v1/completions");
        let conn = self.client.post(url).with_body(body.to_string());
        let conn = self.with_headers(conn, &ask.headers);
        let (asked_unix_us, start) = (unix_us(), Instant::now());
        let mut reply = self.within_timeout(read_completion(conn, ask, start)).await;
        reply.asked_unix_us = asked_unix_us;
        reply.total_us = start.elapsed().as_micros() as u64;
        reply
    }

    /// Calls a plain service and checks that the answer echoes the path and the body.
    pub async fn call(&self, address: SocketAddr, call: &PlainCall) -> Reply {
        let url = format!("http://{address}{}", call.path);
        let conn = self.client.build_conn(call.method, url).with_body(call.body.clone());
        let conn = self.with_headers(conn, &call.headers);
        let (asked_unix_us, start) = (unix_us(), Instant::now());
        let mut reply = self.within_timeout(read_plain(conn, call)).await;
        reply.asked_unix_us = asked_unix_us;
        reply.total_us = start.elapsed().as_micros() as u64;
        reply
    }

    /// Sends a request and returns its status and JSON body, or `None` if there was no answer.
    pub async fn send(
        &self,
        method: &'static str,
        url: &str,
        body: Option<Value>,
    ) -> Option<(u16, Value)> {
        let mut conn = self.client.build_conn(method, url);
        if let Some(body) = body {
            conn = conn.with_body(body.to_string());
        }
        let mut conn = self.with_headers(conn, &[]).await.ok()?;
        let status = conn.status()? as u16;
        let text = read_text(&mut conn).await?;
        Some((status, serde_json::from_str(&text).unwrap_or(Value::String(text))))
    }

    /// Queries an entry for the addresses to use. Returns none if the query fails.
    pub async fn addresses(&self, address: SocketAddr, data_centre: &str) -> Vec<SocketAddr> {
        let answer = self.address_answer(address, data_centre).await;
        answer.map(|(addresses, _)| addresses).unwrap_or_default()
    }

    /// Queries an entry for the addresses to use and their time to live. Returns `None` on failure.
    pub async fn address_answer(
        &self,
        address: SocketAddr,
        data_centre: &str,
    ) -> Option<(Vec<SocketAddr>, Duration)> {
        let url = format!("http://{address}/v1/address?data_centre={data_centre}");
        let (status, body) = self.send("GET", &url, None).await?;
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64()?);
        let addresses = body["addresses"].as_array()?.iter();
        let addresses = addresses.filter_map(|text| text.as_str()?.parse().ok()).collect();
        (status == 200).then_some((addresses, ttl))
    }

    /// Obtains a request key from an entry.
    pub async fn request_key(&self, address: SocketAddr) -> Option<String> {
        let url = format!("http://{address}/v1/keys");
        let (status, body) = self.send("POST", &url, Some(json!({"count": 1}))).await?;
        (status == 200).then(|| body["keys"][0].as_str().map(str::to_owned))?
    }

    fn with_headers(&self, conn: Conn, headers: &[(&'static str, String)]) -> Conn {
        let conn = conn
            .with_request_header("authorization", format!("Bearer {}", self.api_key))
            .with_request_header("content-type", "application/json");
        headers
            .iter()
            .fold(conn, |conn, (name, value)| conn.with_request_header(*name, value.clone()))
    }

    async fn within_timeout(&self, reading: impl Future<Output = Reply>) -> Reply {
        let timed_out = async {
            Timer::after(self.timeout).await;
            Reply::without_response(Outcome::Broken)
        };
        smol::future::or(reading, timed_out).await
    }
}

async fn read_completion(conn: Conn, ask: &Ask, start: Instant) -> Reply {
    let (mut conn, mut reply) = match read_head(conn).await {
        Ok(response) => response,
        Err(reply) => return reply,
    };
    if ask.stream {
        let mut events = EventReader::default();
        let mut body = conn.response_body();
        let mut buffer = [0; 8_192];
        loop {
            let length = body.read(&mut buffer).await.unwrap_or(0);
            if length == 0 {
                break;
            }
            events.push(&buffer[..length], reply.request_id.as_deref());
            if events.tokens > 0 && reply.first_token_us == 0 {
                reply.first_token_us = start.elapsed().as_micros() as u64;
            }
        }
        return validate_stream(reply, events, ask);
    }
    let Some(body) = read_text(&mut conn).await else { return reply };
    let value = serde_json::from_str::<Value>(&body).unwrap_or(Value::Null);
    let text = value["choices"][0]["text"].as_str().unwrap_or("");
    reply.text = text.to_owned();
    reply.outcome = validate_text(text, ask);
    reply
}

fn validate_stream(mut reply: Reply, events: EventReader, ask: &Ask) -> Reply {
    reply.outcome = match (events.foreign, events.done) {
        (true, _) => Outcome::Foreign,
        (false, false) => Outcome::Broken,
        (false, true) => validate_text(&events.text, ask),
    };
    if let Some(error) = events.error {
        reply.code = error["code"].as_str().map(str::to_owned);
        reply.verdict = error["verdict"].as_str().map(str::to_owned);
    }
    reply.text = events.text;
    reply
}

fn validate_text(text: &str, ask: &Ask) -> Outcome {
    match text == expected_text(&ask.prompt, 0..ask.tokens) {
        true => Outcome::Whole,
        false => Outcome::Foreign,
    }
}

async fn read_plain(conn: Conn, call: &PlainCall) -> Reply {
    let (mut conn, mut reply) = match read_head(conn).await {
        Ok(response) => response,
        Err(reply) => return reply,
    };
    let Some(body) = read_text(&mut conn).await else { return reply };
    let value = serde_json::from_str::<Value>(&body).unwrap_or(Value::Null);
    let path = value["path"].as_str().unwrap_or("");
    let echoed =
        !path.is_empty() && call.path.ends_with(path) && value["body"] == call.body.as_str();
    reply.outcome = if echoed { Outcome::Whole } else { Outcome::Foreign };
    reply.text = body;
    reply
}

/// Sends the request and reads the response head. Returns an error for anything but a success.
///
/// The outcome of a success is `Broken` until the body has been validated.
async fn read_head(conn: Conn) -> Result<(Conn, Reply), Reply> {
    let mut conn = match conn.await {
        Ok(conn) => conn,
        Err(trillium_client::Error::Io(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            return Err(Reply::without_response(Outcome::Unreachable));
        }
        Err(_) => return Err(Reply::without_response(Outcome::Broken)),
    };
    let mut reply = Reply::without_response(Outcome::Broken);
    reply.status = conn.status().map_or(0, |status| status as u16);
    reply.verdict = header(&conn, "x-verdict");
    reply.request_id = header(&conn, "x-request-id");
    if reply.status == 200 {
        return Ok((conn, reply));
    }
    let body = read_text(&mut conn).await.unwrap_or_default();
    let value = serde_json::from_str::<Value>(&body).unwrap_or(Value::Null);
    reply.code = value["error"]["code"].as_str().map(str::to_owned);
    reply.outcome = Outcome::Refused;
    reply.text = body;
    Err(reply)
}

fn header(conn: &Conn, name: &'static str) -> Option<String> {
    conn.response_headers().get_str(name).map(str::to_owned)
}

/// Reads the whole body as UTF-8, whatever charset the response declares.
async fn read_text(conn: &mut Conn) -> Option<String> {
    String::from_utf8(conn.response_body().read_bytes().await.ok()?).ok()
}
