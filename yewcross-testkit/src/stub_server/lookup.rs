//! Lookups of a lookup server.

use super::{STALL_TIME, StubServer, string_member};
use http_types::Response;
use serde_json::{Value, json};
use yewcross_common::buffered_http::json_response;
use yewcross_common::hash::digest;

impl StubServer {
    pub(super) async fn handle_lookup(&self, body: &Value) -> Response {
        let job = string_member(body, "job");
        let key = string_member(body, "key");
        self.record_late_arrival(&job);
        let Some(_slot) = self.acquire_slot().await else {
            return self.reject(&job);
        };
        self.record_execution(&job, &key, &string_member(body, "method"));
        let duration = self.settings.output_us * self.slowdown();
        self.runtime.sleep(duration).await;
        if self.take_fault(|faults| &mut faults.stalls) {
            self.runtime.sleep(STALL_TIME).await;
        }
        if self.take_fault(|faults| &mut faults.lost_answers) {
            return json_response(200, &"lost");
        }
        let stamped_job = self.stamped_job(job);
        let value = format!("{key}={}", &digest(key.as_bytes())[..8]);
        json_response(
            200,
            &json!({"value": value, "stamp": self.stamp(&stamped_job)}),
        )
    }

    /// The job that a response is stamped for: another one if that fault affects it.
    pub(super) fn stamped_job(&self, job: String) -> String {
        if self.take_fault(|faults| &mut faults.misattributed_answers) {
            format!("{job}-other")
        } else {
            job
        }
    }
}
