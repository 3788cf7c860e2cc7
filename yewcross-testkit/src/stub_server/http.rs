//! The server's HTTP paths.

use super::{StubFaults, StubServer, text};
use http_types::{Method, Response};
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, json_response};

/// Answers a request.
pub(super) async fn handle(server: Arc<StubServer>, request: BufferedRequest) -> Response {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    match (request.method, request.path.as_str()) {
        (Method::Get, "/identity") => json_response(200, &server.stamp("")),
        (Method::Get, "/report") => json_response(200, &server.load_report()),
        (Method::Post, "/turn") => server.answer_turn(&body).await,
        (Method::Post, "/lookup") => server.answer_lookup(&body).await,
        (Method::Post, "/cancel") => server.answer_cancel(&body),
        (Method::Post, "/kv/save") => server.answer_save(&body).await,
        (Method::Post, "/kv/send") => server.answer_send(&body).await,
        (Method::Post, "/kv/put") => server.answer_put(&body).await,
        (Method::Post, "/kv/import") => server.answer_import(&body).await,
        (Method::Post, "/kv/drop") => server.answer_drop(&body),
        (Method::Get, "/lab/runs") => json_response(200, &*server.log.executions.lock().unwrap()),
        (Method::Post, "/lab/fault") => server.answer_fault(&request.body),
        _ => json_response(404, &json!({"why": "no such path"})),
    }
}

impl StubServer {
    fn answer_cancel(&self, body: &Value) -> Response {
        let job = text(body, "job");
        let output = self.cancel(&job);
        json_response(
            200,
            &json!({"ok": true, "output": output, "stamp": self.stamp(&job)}),
        )
    }

    fn answer_fault(&self, body: &[u8]) -> Response {
        match serde_json::from_slice::<StubFaults>(body) {
            Ok(faults) => {
                self.set_faults(faults);
                json_response(200, &json!({"ok": true}))
            }
            Err(error) => json_response(400, &json!({"why": error.to_string()})),
        }
    }
}
