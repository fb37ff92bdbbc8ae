//! Reads an object back after the reply to its write was lost, before any retry.
//!
//! Run with `cargo run -p celeryhaven-store --example read_back`.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use celeryhaven_stand_ins::http::Server;
use celeryhaven_stand_ins::object_api::{Limits, ObjectApi, ObjectApiFaults};
use celeryhaven_store::StoreClient;
use celeryhaven_types::store::{ObjectKey, StoreReply, StoreRequest};

fn main() -> Result<(), Box<dyn Error>> {
    smol::block_on(async {
        let api = Arc::new(ObjectApi::new(Limits::default(), 100));
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::bind(loopback, api.clone()).await?;
        let client = StoreClient::new(server.address(), Duration::from_secs(2));

        let faults = ObjectApiFaults { lose_answer_after_write: 1, ..ObjectApiFaults::default() };
        api.set_faults(faults);
        let key = ObjectKey::new("plans/1");
        let value = Arc::from(r#"{"change": "b7"}"#);
        let create = StoreRequest::Create { key: key.clone(), value };
        println!("the write:     {:?}", client.call(&create).await);

        match client.call(&StoreRequest::Get { key }).await {
            StoreReply::Found(object) if object.value.contains("b7") => {
                println!("read back:     our change took effect as version {}", object.version);
            }
            other => println!("read back:     {other:?}"),
        }
        Ok(())
    })
}
