use celeryhaven_types::Map;
use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use trillium_http::Conn;

/// A received request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, in upper case.
    pub method: String,
    /// The percent-decoded path, without the query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    query: Map<String, String>,
    headers: Map<String, String>,
}

impl Request {
    /// Reads a request. Returns `None` if its body is truncated or too long.
    pub(crate) async fn read(conn: &mut Conn<TcpStream>) -> Option<Self> {
        let query = form_urlencoded::parse(conn.querystring().as_bytes()).into_owned().collect();
        let headers = conn
            .request_headers()
            .iter()
            .filter_map(|(name, values)| {
                Some((name.to_string().to_lowercase(), values.as_str()?.to_owned()))
            })
            .collect();
        let method = conn.method().to_string();
        let path = percent_decode_str(conn.path()).decode_utf8_lossy().into_owned();
        let body = conn.request_body().read_bytes().await.ok()?;
        Some(Self { method, path, body, query, headers })
    }

    /// Returns a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }

    /// Returns a query parameter as a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}
