use serde_json::{Map, Value, json};

use crate::engine::{EngineFleet, FaultOrder};
use crate::http::{Answer, Request, Serve};

impl Serve for EngineFleet {
    /// Serves the control port: `POST /faults` and `GET /runs`.
    async fn serve(&self, request: Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/faults") => match request.json::<FaultOrder>() {
                Ok(order) => match self.set_fault(&order.vm, order.fault).await {
                    Ok(()) => Answer::json(200, &json!({})),
                    Err(error) => Answer::bad_request(error.to_string()),
                },
                Err(error) => Answer::bad_request(error.to_string()),
            },
            ("GET", "/runs") => {
                let logs = self.runs().await;
                let by_vm = logs.iter().map(|(vm, log)| (vm.clone(), json!(log.runs())));
                Answer::json(200, &json!({"vms": Value::Object(by_vm.collect::<Map<_, _>>())}))
            }
            _ => Answer::json(404, &json!({"error": {"code": "unknown_path"}})),
        }
    }
}
