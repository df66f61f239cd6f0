//! Answers of our own. Each carries a numbered code; docs/result-codes.md has the table.

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use sl_base::{Code, Millis, Outcome};
use sl_http::{Conn, ResponseHead};
use sl_route::{Failure, Refusal};

/// An answer that no server gave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalResponse {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Millis>,
}

#[derive(Serialize)]
struct Body {
    code: u16,
    reason: &'static str,
    outcome: Outcome,
}

impl LocalResponse {
    /// An answer that names no time to come back.
    pub(crate) fn of(code: Code) -> LocalResponse {
        LocalResponse { code, retry_after: None }
    }

    /// The answer to a request that was refused.
    pub(crate) fn refused(reason: Refusal, retry_after: Millis) -> LocalResponse {
        let code = match reason {
            Refusal::Overload => Code::Overloaded,
            Refusal::InstanceFull => Code::InstanceFull,
            Refusal::TeamOverShare => Code::OverShare,
            Refusal::NoServer => Code::NoServer,
            Refusal::TurnedAway => Code::TurnedAway,
            Refusal::TooLate => Code::TooLate,
        };
        LocalResponse { code, retry_after: Some(retry_after) }
    }

    /// The answer to a request that may have run.
    pub(crate) fn failed(reason: Failure) -> LocalResponse {
        LocalResponse::of(match reason {
            Failure::ConnectionLost => Code::ConnectionLost,
            Failure::InvalidResponse => Code::CrossedAnswer,
            Failure::Timeout => Code::TotalTimeout,
            Failure::CrashesServers => Code::CrashesServers,
        })
    }

    /// Writes the answer; `keeps_alive` says whether the connection goes on.
    pub(crate) async fn write(
        self,
        conn: &mut Conn,
        attempt_id: Option<&Bytes>,
        keeps_alive: bool,
    ) -> std::io::Result<()> {
        let reason: &'static str = self.code.into();
        let body = Body { code: self.code.number(), reason, outcome: self.code.outcome() };
        // Two names and a number always have a JSON form.
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
        buf.extend_from_slice(&body);
        conn.write(&buf).await
    }
}
