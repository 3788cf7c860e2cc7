//! Dispatch of the server's HTTP requests.

use super::{StubFaults, StubServer, string_member};
use http_types::{Method, Response};
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, json_response};

/// Handles a request by its method and path.
pub(super) async fn handle(server: Arc<StubServer>, request: BufferedRequest) -> Response {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    match (request.method, request.path.as_str()) {
        (Method::Get, "/identity") => json_response(200, &server.stamp("")),
        (Method::Get, "/report") => json_response(200, &server.load_report()),
        (Method::Post, "/turn") => server.handle_turn(&body).await,
        (Method::Post, "/lookup") => server.handle_lookup(&body).await,
        (Method::Post, "/cancel") => server.handle_cancel(&body),
        (Method::Post, "/kv/save") => server.handle_save(&body).await,
        (Method::Post, "/kv/send") => server.handle_send(&body).await,
        (Method::Post, "/kv/put") => server.handle_put(&body).await,
        (Method::Post, "/kv/import") => server.handle_import(&body).await,
        (Method::Post, "/kv/drop") => server.handle_drop(&body),
        (Method::Get, "/lab/runs") => json_response(200, &*server.log.executions.lock().unwrap()),
        (Method::Post, "/lab/fault") => server.handle_fault(&request.body),
        _ => json_response(404, &json!({"why": "no such path"})),
    }
}

impl StubServer {
    fn handle_cancel(&self, body: &Value) -> Response {
        let job = string_member(body, "job");
        let output = self.cancel(&job);
        json_response(
            200,
            &json!({"ok": true, "output": output, "stamp": self.stamp(&job)}),
        )
    }

    fn handle_fault(&self, body: &[u8]) -> Response {
        match serde_json::from_slice::<StubFaults>(body) {
            Ok(faults) => {
                self.set_faults(faults);
                json_response(200, &json!({"ok": true}))
            }
            Err(error) => json_response(400, &json!({"why": error.to_string()})),
        }
    }
}
