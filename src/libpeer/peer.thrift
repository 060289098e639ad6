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
  5: binary nonce,
  6: string keyId,
  7: binary mac,
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

// What is believed of one host, and who says so.
struct MemberNews {
  1: string host,
  2: i32 state,
  3: i64 incarnation,
  4: string observer,
}

struct DomainDigest {
  1: string domain,
  2: i64 digest,
}

// Failure detection: a probe, its answer, a request to probe, or gossip.
struct MemberMessage {
  1: i32 kind,
  2: i64 sequence,
  3: i64 incarnation,
  4: i64 digest,
  5: string target,
  6: list<MemberNews> news,
  7: list<DomainDigest> digests,
  8: i64 revision,
  9: i64 tableVersion,
  10: i64 tableDigest,
}

// Asks for the published set if it is newer than this revision.
struct ConfigPull {
  1: i64 revision,
}

struct ConfigPush {
  1: string root,
  2: i64 rootVersion,
  3: binary text,
}

// An entry of the store with the version of the write that put it there.
struct TableEntry {
  1: string key,
  2: binary value,
  3: i64 version,
}

// Asks for the chunks that are newer than these; only keys and versions.
struct TablePull {
  1: list<TableEntry> known,
}

struct TablePush {
  1: list<TableEntry> entries,
}

// How far has the receiver seen the store? The asker's tables are complete up
// to this version.
struct VersionAsk {
  1: i64 round,
  2: i64 seen,
}

// An entry of the store that the asker has not seen.
struct SeenEntry {
  1: string key,
  2: binary value,
  3: i64 version,
}

struct VersionAnswer {
  1: i64 round,
  2: i64 seen,
  3: list<SeenEntry> entries,
}

// Idempotency ledger: a try that asks (1), a ledger host's verdict (2), or how
// a try has ended (3), with the answer to store.
struct LedgerMessage {
  1: i32 kind,
  2: string scope,
  3: string attempt,
  4: i64 issuedMillis,
  5: i64 bodyHash,
  6: i64 deadlineMillis,
  7: i32 verdict,
  8: i32 ending,
  9: i32 status,
  10: list<Header> headers,
  11: binary body,
}

// Rate of one partition, in requests a second.
struct PartitionRate {
  1: i32 partition,
  2: double requestsPerSecond,
}

// The load of one upstream, from its keeper to the host that plans moves.
struct LoadReport {
  1: string serviceName,
  2: string upstream,
  3: double requestsPerSecond,
  4: list<PartitionRate> busiest,
}

// The sender is stopping: it is to get no new work, and what it keeps is to be
// taken over.
struct Leaving {
}

union Message {
  1: Hello hello,
  2: ForwardRequest forwardRequest,
  3: ForwardReply forwardReply,
  4: ForwardCancel forwardCancel,
  5: MemberMessage member,
  6: ConfigPull configPull,
  7: ConfigPush configPush,
  8: TablePull tablePull,
  9: TablePush tablePush,
  20: VersionAsk versionAsk,
  21: VersionAnswer versionAnswer,
  30: LoadReport loadReport,
  31: Leaving leaving,
  40: LedgerMessage ledger,
}
