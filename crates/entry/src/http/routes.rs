use celeryhaven_types::RefusalCode;
use trillium::{Conn, Handler};

use crate::http::respond::refuse_early;
use crate::http::{HttpContext, public, service};

/// Routes requests to their handlers.
pub(crate) struct Routes {
    pub(crate) context: HttpContext,
}

impl Handler for Routes {
    async fn run(&self, mut conn: Conn) -> Conn {
        let context = &self.context;
        if head_bytes(&conn) > context.limits.head_bytes {
            let message = format!("send a head of at most {} bytes", context.limits.head_bytes);
            refuse_early(context, &mut conn, RefusalCode::BadRequest, &message);
            return conn.halt();
        }
        let (method, path) = (conn.method().to_string(), conn.path().to_owned());
        match (method.as_str(), path.as_str()) {
            ("GET", "/v1/address") => public::address(context, &mut conn).await,
            ("POST", "/v1/keys") => public::keys(context, &mut conn).await,
            ("POST", "/v1/completions") => service::complete(context, &mut conn, false).await,
            ("POST", "/v1/chat/completions") => service::complete(context, &mut conn, true).await,
            ("GET", "/healthz") => public::health(context, &mut conn).await,
            ("GET", "/readyz") => public::readiness(context, &mut conn),
            ("GET", "/metrics") => public::metrics(context, &mut conn),
            (_, path) => match service_of(path, conn.querystring()) {
                Some((name, rest)) => service::call(context, &mut conn, &name, &rest).await,
                None => {
                    let message = "no such path, or not by this method";
                    refuse_early(context, &mut conn, RefusalCode::BadRequest, message);
                }
            },
        }
        conn.halt()
    }
}

/// Returns the service named by a path, and the path and query at its target.
fn service_of(path: &str, query: &str) -> Option<(String, String)> {
    let rest = path.strip_prefix("/services/")?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let mark = if query.is_empty() { "" } else { "?" };
    (!name.is_empty()).then(|| (name.to_owned(), format!("/{path}{mark}{query}")))
}

/// Estimates the size of a request's head, in bytes.
fn head_bytes(conn: &Conn) -> usize {
    let fields = conn.request_headers().iter().flat_map(|(name, values)| {
        let name_bytes = name.as_ref().len();
        values.iter().map(move |value| name_bytes + value.as_ref().len() + 4)
    });
    fields.sum::<usize>() + conn.path().len() + conn.querystring().len() + 16
}
