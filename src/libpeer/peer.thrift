// Messages between entry hosts. Hosts of different builds must understand each
// other: fields may only be added, and only as optional ones.
namespace cpp burdockpulley.wire

// An HTTP header.
struct Header {
  1: string name,
  2: string value,
}

// First message on a connection, in both directions. nonce, keyId and mac
// authenticate the connection (see PeerSession).
struct Hello {
  1: i32 version,
  2: string host,
  3: string domain,
  4: i64 incarnation,
  5: binary nonce,
  6: string keyId,
  7: binary mac,
}

// A caller's HTTP request, forwarded to the keeper of the chosen upstream.
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

// The single, final response to a ForwardRequest.
struct ForwardReply {
  1: i64 id,
  2: i32 outcome, // Value of Outcome.
  3: i32 status,
  4: list<Header> headers,
  5: binary body,
  6: string reason,
  7: i64 retryAfterMillis,
}

// The response to a ForwardRequest is no longer needed.
struct ForwardCancel {
  1: i64 id,
}

// State of one host as the failure detector sees it, and the host that observed
// the state.
struct MemberUpdate {
  1: string host,
  2: i32 state, // Value of MemberState.
  3: i64 incarnation,
  4: string observer,
}

// Digest of the states of all hosts of one failure domain.
struct DomainDigest {
  1: string domain,
  2: i64 digest,
}

// Failure detection: a probe, its acknowledgement, a request to probe a third
// host, gossip, or a request for the domains whose digests differ. revision,
// tableVersion and tableDigest describe the sender's configuration and tables.
struct MemberMessage {
  1: i32 kind, // Value of MemberMessage::Kind.
  2: i64 sequence,
  3: i64 incarnation,
  4: i64 digest,
  5: string target,
  6: list<MemberUpdate> news,
  7: list<DomainDigest> digests,
  8: i64 revision,
  9: i64 tableVersion,
  10: i64 tableDigest,
}

// Requests the published configuration if it is newer than this revision.
struct ConfigPull {
  1: i64 revision,
}

// The published configuration: its root record and its text.
struct ConfigPush {
  1: string root,
  2: i64 rootVersion,
  3: binary text,
}

// A store entry with the version of the write that stored it.
struct TableEntry {
  1: string key,
  2: binary value,
  3: i64 version,
}

// Requests the table entries that are newer than the known ones. The known
// entries carry keys and versions only.
struct TablePull {
  1: list<TableEntry> known,
}

// Table entries that are newer than those of the TablePull.
struct TablePush {
  1: list<TableEntry> entries,
}

// Asks up to which store version the receiver's tables are complete. The
// sender's own tables are complete up to the version in seen.
struct VersionRequest {
  1: i64 round,
  2: i64 seen,
}

// A store entry that is newer than the version in the request.
struct NewerEntry {
  1: string key,
  2: binary value,
  3: i64 version,
}

// The responder's tables are complete up to the version in seen. entries holds
// what the requester lacks up to there.
struct VersionResponse {
  1: i64 round,
  2: i64 seen,
  3: list<NewerEntry> entries,
}

// Idempotency ledger: by kind, an attempt that asks for permission to run (1),
// the verdict of a ledger host (2), or how an attempt has ended (3). The status,
// headers and body are those of the stored response, or of the one to store.
struct LedgerMessage {
  1: i32 kind,
  2: string scope,
  3: string attempt,
  4: i64 issuedMillis,
  5: i64 bodyHash,
  6: i64 deadlineMillis,
  7: i32 verdict, // Value of LedgerVerdict.
  8: i32 ending, // Value of LedgerEnd.
  9: i32 status,
  10: list<Header> headers,
  11: binary body,
}

struct PartitionRate {
  1: i32 partition,
  2: double requestsPerSecond,
}

// Load of one upstream and the rates of its busiest partitions, sent by its
// keeper to the host that plans moves.
struct LoadReport {
  1: string serviceName,
  2: string upstream,
  3: double requestsPerSecond,
  4: list<PartitionRate> busiest,
}

// The sender is stopping: it must not get new requests, and other hosts take
// over the upstreams of which it is the keeper.
struct Leaving {
}

// Any message on a connection.
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
  20: VersionRequest versionRequest,
  21: VersionResponse versionResponse,
  30: LoadReport loadReport,
  31: Leaving leaving,
  40: LedgerMessage ledger,
}
