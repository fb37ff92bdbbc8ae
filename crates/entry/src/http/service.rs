use std::sync::Arc;

use celeryhaven_node::{EntryEvent, KeyUse};
use celeryhaven_types::{
    Idempotency, Organisation, RefusalCode, RequestClass, RequestHead, ServiceName,
};
use trillium::Conn;

use crate::exchange::{Exchange, ForwardRequest, RequestKind};
use crate::http::HttpContext;
use crate::http::authorise::authorise;
use crate::http::body::read_body;
use crate::http::completion::{Completion, hash_of, prefix_hashes, token_estimate};
use crate::http::guard::GuardedTransport;
use crate::http::rejection::Rejection;
use crate::http::request_options::RequestOptions;
use crate::http::respond::{refuse_early, respond};
use celeryhaven_clock::BootClock;

/// Headers of a caller's request that are forwarded to a plain service.
const FORWARDED_HEADERS: [&str; 7] = [
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
    let options = RequestOptions::read(context, conn)?;
    let body = read_body(context, conn).await?;
    GuardedTransport::pause(conn);
    let (request, head) = match route {
        Route::Completion { chat } => completion(context, &organisation, &options, body, chat)?,
        Route::Service { service, path } => {
            let known = view.service(&service);
            let idempotent =
                known.is_some_and(|known| known.idempotent_methods.contains(&options.method));
            plain(context, conn, &organisation, &options, body, (service, path, idempotent))
        }
    };
    let (exchange, parts) = Exchange::new(
        context.registry.clone(),
        BootClock.now(),
        request,
        head,
        options.key.clone(),
    );
    submit(context, &exchange, false);
    respond(context.clone(), conn, exchange, parts).await;
    Ok(())
}

/// Submits a request to the control thread.
pub(crate) fn submit(context: &HttpContext, exchange: &Arc<Exchange>, passed_on: bool) {
    let key = exchange.key.clone().map_or(KeyUse::None, KeyUse::Presented);
    let event = EntryEvent::Arrived {
        ticket: exchange.ticket(),
        head: exchange.head.clone(),
        key,
        delegated: passed_on,
    };
    context.control.send_traffic(event, Some(exchange.clone()));
}

fn completion(
    context: &HttpContext,
    organisation: &Organisation,
    options: &RequestOptions,
    body: Vec<u8>,
    chat: bool,
) -> Result<(ForwardRequest, RequestHead), Rejection> {
    let completion = Completion::parse(&body, chat)
        .map_err(|message| Rejection::new(RefusalCode::BadRequest, message))?;
    let prompt = completion.prompt();
    let idempotent = options.idempotent.unwrap_or(true);
    let kind = match completion.stream {
        true => RequestKind::StreamedCompletion,
        false => RequestKind::WholeCompletion,
    };
    let mut hashes = prefix_hashes(&prompt);
    if !idempotent {
        // Identifies the complete body of a repeated key, which the block hashes do not cover.
        hashes.push(hash_of(&body));
    }
    let head = RequestHead {
        prompt_tokens: token_estimate(prompt.len()),
        output_tokens_max: completion.output_tokens_max(),
        prefix_hashes: hashes,
        choice_key: None,
        ..head(context, organisation, options, completion.class(), idempotent)
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
    options: &RequestOptions,
    body: Vec<u8>,
    (service, path, idempotent): (ServiceName, String, bool),
) -> (ForwardRequest, RequestHead) {
    // The header can only restrict: it cannot make a method idempotent that is not configured so.
    let idempotent = idempotent && options.idempotent.unwrap_or(true);
    let content = [options.method.as_bytes(), path.as_bytes(), &body].concat();
    let class = RequestClass::Plain { service };
    let head = RequestHead {
        // A plain call has no prompt to estimate its cost from.
        prefix_hashes: vec![hash_of(&content)],
        choice_key: None,
        ..head(context, organisation, options, class, idempotent)
    };
    let copied = FORWARDED_HEADERS.into_iter().filter_map(|name| {
        let value = conn.request_headers().get_str(name)?;
        Some((name.to_owned(), value.to_owned()))
    });
    let key = options.key.iter().filter(|_| !idempotent);
    let key = key.map(|key| ("idempotency-key".to_owned(), key.clone()));
    let request = ForwardRequest {
        id: head.id.clone(),
        kind: RequestKind::Plain,
        method: options.method.clone(),
        path,
        headers: copied.chain(key).collect(),
        body,
    };
    (request, head)
}

fn head(
    context: &HttpContext,
    organisation: &Organisation,
    options: &RequestOptions,
    class: RequestClass,
    idempotent: bool,
) -> RequestHead {
    RequestHead {
        id: context.next_request_id(),
        organisation: organisation.name.clone(),
        class,
        priority: organisation.priority,
        worth: organisation.worth,
        idempotency: match idempotent {
            true => Idempotency::Idempotent,
            false => Idempotency::NonIdempotent,
        },
        deadline_in_ms: options.deadline_ms,
        start_within_ms: None,
        attempts_max: None,
        prompt_tokens: 0,
        output_tokens_max: 0,
        prefix_hashes: Vec::new(),
        choice_key: None,
    }
}
