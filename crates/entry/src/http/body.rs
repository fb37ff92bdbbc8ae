use std::pin::pin;

use celeryhaven_types::RefusalCode;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use trillium::Conn;

use crate::http::HttpContext;
use crate::http::rejection::Rejection;

/// Reads the body within the limits on size and time.
pub(crate) async fn read_body(
    context: &HttpContext,
    conn: &mut Conn,
) -> Result<Vec<u8>, Rejection> {
    let limit = context.limits.body_bytes;
    let announced = conn.request_headers().get_str("content-length").map(str::parse::<u64>);
    let announced = matches!(announced, Some(Ok(length)) if length > limit);
    let late = async {
        Timer::after(context.limits.read).await;
        BodyRead::Slow
    };
    let read = match announced {
        true => BodyRead::TooLarge,
        false => read_limited(conn, limit).or(late).await,
    };
    match read {
        BodyRead::Whole(body) => Ok(body),
        BodyRead::TooLarge => {
            let message = format!("send a body of at most {limit} bytes");
            Err(Rejection::new(RefusalCode::BodyTooLarge, message))
        }
        BodyRead::Broken => {
            Err(Rejection::new(RefusalCode::BadRequest, "the body broke off or is malformed"))
        }
        BodyRead::Slow => {
            let message = "the body came in too slowly; send it again in one go";
            Err(Rejection::new(RefusalCode::SlowCaller, message))
        }
    }
}

enum BodyRead {
    Whole(Vec<u8>),
    TooLarge,
    Broken,
    Slow,
}

async fn read_limited(conn: &mut Conn, limit: u64) -> BodyRead {
    let mut body = Vec::new();
    let reading = conn.request_body().with_max_len(limit + 1).take(limit + 1);
    match pin!(reading).read_to_end(&mut body).await {
        _ if body.len() as u64 > limit => BodyRead::TooLarge,
        Ok(_) => BodyRead::Whole(body),
        Err(_) => BodyRead::Broken,
    }
}
