use std::sync::Arc;

use celeryhaven_node::{EntryEvent, KeyUse};
use celeryhaven_types::{
    Idempotency, Organisation, RefusalCode, RequestClass, RequestHead, ServiceName,
};
use trillium::Conn;

use crate::exchange::{Exchange, ForwardRequest, RequestKind};
use crate::http::HttpContext;
use crate::http::asked::Asked;
use crate::http::authorise::authorise;
use crate::http::body::read_body;
use crate::http::completion::{Completion, hash_of, prefix_hashes, token_estimate};
use crate::http::guard::GuardedTransport;
use crate::http::rejection::Rejection;
use crate::http::respond::{refuse_early, respond};
use celeryhaven_clock::BootClock;

/// Headers of a caller that go on to a plain service.
const FORWARDED: [&str; 7] = [
    "accept",
    "accept-language",
    "content-type",
    "if-match",
    "if-none-match",
    "if-modified-since",
    "user-agent",
];

/// Serves `POST /v1/completions` and `POST /v1/chat/completions`.
pub(crate) async fn complete(context: &HttpContext, conn: &mut Conn, chat: bool) {
    match admit(context, conn, Route::Completion { chat }).await {
        Ok(()) => {}
        Err(rejection) => refuse_early(context, conn, rejection.code, &rejection.message),
    }
}

/// Serves `/services/NAME/PATH`.
pub(crate) async fn call(context: &HttpContext, conn: &mut Conn, service: &str, path: &str) {
    let route = Route::Service { service: ServiceName::new(service), path: path.to_owned() };
    match admit(context, conn, route).await {
        Ok(()) => {}
        Err(rejection) => refuse_early(context, conn, rejection.code, &rejection.message),
    }
}

enum Route {
    Completion { chat: bool },
    Service { service: ServiceName, path: String },
}

async fn admit(context: &HttpContext, conn: &mut Conn, route: Route) -> Result<(), Rejection> {
    let view = context.control.view();
    let organisation = authorise(&view, conn)
        .map_err(|code| {
            Rejection::new(code, "send a valid API key as `authorization: Bearer KEY`")
        })?
        .clone();
    let asked = Asked::read(context, conn)?;
    let body = read_body(context, conn).await?;
    GuardedTransport::pause(conn);
    let (request, head) = match route {
        Route::Completion { chat } => completion(context, &organisation, &asked, body, chat)?,
        Route::Service { service, path } => {
            let known = view.service(&service);
            let repeatable =
                known.is_some_and(|known| known.idempotent_methods.contains(&asked.method));
            plain(context, conn, &organisation, &asked, body, (service, path, repeatable))
        }
    };
    let (exchange, parts) =
        Exchange::new(context.registry.clone(), BootClock.now(), request, head, asked.key.clone());
    submit(context, &exchange, false);
    respond(context.clone(), conn, exchange, parts).await;
    Ok(())
}

/// Tells the control thread of a new request.
pub(crate) fn submit(context: &HttpContext, exchange: &Arc<Exchange>, passed_on: bool) {
    let key = exchange.key.clone().map_or(KeyUse::None, KeyUse::Presented);
    let event = EntryEvent::Arrived {
        ticket: exchange.ticket(),
        head: exchange.head.clone(),
        key,
        delegated: passed_on,
    };
    context.control.traffic(event, Some(exchange.clone()));
}

fn completion(
    context: &HttpContext,
    organisation: &Organisation,
    asked: &Asked,
    body: Vec<u8>,
    chat: bool,
) -> Result<(ForwardRequest, RequestHead), Rejection> {
    let completion = Completion::parse(&body, chat)
        .map_err(|message| Rejection::new(RefusalCode::BadRequest, message))?;
    let prompt = completion.prompt();
    let repeatable = asked.idempotent.unwrap_or(true);
    let kind = match completion.stream {
        true => RequestKind::StreamedCompletion,
        false => RequestKind::WholeCompletion,
    };
    let mut hashes = prefix_hashes(&prompt);
    if !repeatable {
        // Two requests with one key must be told apart by all they say, not by whole blocks only.
        hashes.push(hash_of(&body));
    }
    let head = RequestHead {
        prompt_tokens: token_estimate(prompt.len()),
        output_tokens_max: completion.output_tokens_max(),
        prefix_hashes: hashes,
        ..head(context, organisation, asked, completion.class(), repeatable)
    };
    let request = ForwardRequest {
        id: head.id.clone(),
        kind,
        method: "POST".into(),
        path: if chat { "/v1/chat/completions" } else { "/v1/completions" }.into(),
        headers: vec![("content-type".into(), "application/json".into())],
        body,
    };
    Ok((request, head))
}

fn plain(
    context: &HttpContext,
    conn: &Conn,
    organisation: &Organisation,
    asked: &Asked,
    body: Vec<u8>,
    (service, path, repeatable): (ServiceName, String, bool),
) -> (ForwardRequest, RequestHead) {
    // The header only makes a call stricter: what the configuration does not allow to be repeated
    // stays so whatever the caller says.
    let repeatable = repeatable && asked.idempotent.unwrap_or(true);
    let content = [asked.method.as_bytes(), path.as_bytes(), &body].concat();
    let class = RequestClass::Plain { service };
    let head = RequestHead {
        // A plain call has no prompt: its bytes say nothing about how long it takes.
        prefix_hashes: vec![hash_of(&content)],
        ..head(context, organisation, asked, class, repeatable)
    };
    let copied = FORWARDED.into_iter().filter_map(|name| {
        let value = conn.request_headers().get_str(name)?;
        Some((name.to_owned(), value.to_owned()))
    });
    let key = asked.key.iter().filter(|_| !repeatable);
    let key = key.map(|key| ("idempotency-key".to_owned(), key.clone()));
    let request = ForwardRequest {
        id: head.id.clone(),
        kind: RequestKind::Plain,
        method: asked.method.clone(),
        path,
        headers: copied.chain(key).collect(),
        body,
    };
    (request, head)
}

fn head(
    context: &HttpContext,
    organisation: &Organisation,
    asked: &Asked,
    class: RequestClass,
    repeatable: bool,
) -> RequestHead {
    RequestHead {
        id: context.next_request_id(),
        organisation: organisation.name.clone(),
        class,
        priority: organisation.priority,
        worth: organisation.worth,
        idempotency: match repeatable {
            true => Idempotency::Idempotent,
            false => Idempotency::NonIdempotent,
        },
        deadline_in_ms: asked.deadline_ms,
        start_within_ms: None,
        prompt_tokens: 0,
        output_tokens_max: 0,
        prefix_hashes: Vec::new(),
    }
}
