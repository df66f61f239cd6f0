//! Responses that this instance generates itself. Each carries a numbered result code;
//! docs/result-codes.md lists them.

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use sl_base::{Code, Millis, Outcome};
use sl_http::ResponseHead;
use sl_route::{Failure, Refusal};

/// A response that does not come from a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalResponse {
    pub(crate) code: Code,
    /// Earliest retry that is advised to the caller, relative to the response.
    pub(crate) retry_after: Option<Millis>,
}

/// The JSON body of the response.
#[derive(Serialize)]
struct Body {
    code: u16,
    reason: &'static str,
    outcome: Outcome,
}

impl LocalResponse {
    /// A response without a retry delay.
    pub(crate) fn of(code: Code) -> LocalResponse {
        LocalResponse { code, retry_after: None }
    }

    /// The response to a request that was refused and has not run.
    pub(crate) fn refused(reason: Refusal, retry_after: Millis) -> LocalResponse {
        let code = match reason {
            Refusal::Overload => Code::Overloaded,
            Refusal::InstanceFull => Code::InstanceFull,
            Refusal::TeamOverShare => Code::OverShare,
            Refusal::NoServer => Code::NoServer,
            Refusal::TurnedAway => Code::TurnedAway,
            Refusal::TooLate => Code::TooLate,
            Refusal::VersionGone => Code::VersionGone,
            Refusal::OriginUnknown => Code::OriginUnknown,
            Refusal::VersionUnrecorded => Code::VersionUnrecorded,
        };
        LocalResponse { code, retry_after: Some(retry_after) }
    }

    /// The response to a request that failed and may have run.
    pub(crate) fn failed(reason: Failure) -> LocalResponse {
        LocalResponse::of(match reason {
            Failure::ConnectionLost => Code::ConnectionLost,
            Failure::InvalidResponse => Code::CrossedAnswer,
            Failure::Timeout => Code::TotalTimeout,
            Failure::CrashesServers => Code::CrashesServers,
        })
    }

    /// Encodes the response. `attempt_id` is absent if the request was rejected before it was
    /// registered; `is_head` if the request's method was HEAD, so that no body is sent; without
    /// `keeps_alive` the response announces that the connection closes.
    pub(crate) fn encode(
        self,
        attempt_id: Option<&Bytes>,
        is_head: bool,
        keeps_alive: bool,
    ) -> BytesMut {
        let reason: &'static str = self.code.into();
        let body = Body { code: self.code.number(), reason, outcome: self.code.outcome() };
        // Serialization cannot fail: the fields are names and a number.
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut headers = platform::local_response_headers(attempt_id, self.retry_after);
        headers.push("X-Sesamelock-Code", self.code.number().to_string());
        headers.push("X-Sesamelock-Outcome", self.code.outcome().to_string());
        headers.push("Content-Type", "application/json");
        headers.push("Content-Length", body.len().to_string());
        if !keeps_alive {
            headers.push("Connection", "close");
        }
        let head = ResponseHead {
            status: self.code.status(),
            reason: Bytes::from_static(reason.as_bytes()),
            is_http_11: true,
            headers,
        };
        let mut buf = BytesMut::new();
        head.write(&mut buf);
        if !is_head {
            buf.extend_from_slice(&body);
        }
        buf
    }
}
