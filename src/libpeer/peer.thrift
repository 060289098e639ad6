// Messages between entry hosts. Fields are only ever added, as optional.
namespace cpp burdockpulley.wire

struct Header {
  1: string name,
  2: string value,
}

// First message on a connection, in both directions.
struct Hello {
  1: i32 version,
  2: string host,
  3: string domain,
  4: i64 incarnation,
}

// A caller's request on its way to the host that keeps the upstream.
struct ForwardRequest {
  1: i64 id,
  2: string serviceName,
  3: string upstream,
  4: i32 partition,
  5: i64 fencingToken,
  6: string method,
  7: string target,
  8: list<Header> headers,
  9: binary body,
  10: i64 remainingMicros,
  11: bool idempotent,
  12: string requestId,
  13: string tenant,
}

// The one final answer to a ForwardRequest.
struct ForwardReply {
  1: i64 id,
  2: i32 outcome,
  3: i32 status,
  4: list<Header> headers,
  5: binary body,
  6: string reason,
  7: i64 retryAfterMillis,
}

// Nobody waits for the answer of a ForwardRequest any more.
struct ForwardCancel {
  1: i64 id,
}

union Message {
  1: Hello hello,
  2: ForwardRequest forwardRequest,
  3: ForwardReply forwardReply,
  4: ForwardCancel forwardCancel,
}
