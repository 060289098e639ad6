// What entry hosts tell each other, and what they keep in the store. Fields
// are only ever added, as optional.
namespace cpp burdockpulley.wire

struct KeyRangeRecord {
  1: i32 last,
  2: string owner,
  3: i64 incarnation,
  4: i64 token,
  5: string handover,
}

// The key table of one service, as it stands in the store.
struct KeyTableRecord {
  1: string serviceName,
  2: i64 version,
  3: i64 lastToken,
  4: list<KeyRangeRecord> ranges,
}

// Consecutive keys with one owner.
struct OwnerSpan {
  // Keys between the end of the span before and the begin of this one.
  1: i32 skipped,
  2: i32 keys,
  // Place of the owner in OwnersUpdate.owners; -1 when the keys have none.
  3: i32 owner,
}

// Who serves the keys of one service. With a base, just what has changed
// since; without, all keys.
struct OwnersUpdate {
  1: string serviceName,
  // Epoch of the coordinator that tells.
  2: i64 epoch,
  3: i64 version,
  4: i32 step,
  5: optional i64 baseVersion,
  6: optional i32 baseStep,
  7: list<string> owners,
  8: list<OwnerSpan> spans,
}

// A host has missed changes and asks the coordinator for all keys.
struct OwnersRequest {
  1: string serviceName,
}

// One host's requests at one upstream, and what its own answers told of it.
struct UpstreamLoadEntry {
  1: i32 upstream,
  2: i32 outstanding,
  3: optional i32 running,
  4: optional i32 waiting,
  5: optional i32 slownessPercent,
  6: optional i32 reportAgeMillis,
  // Requests for the upstream's keys that wait at the host.
  7: optional i32 hostWaiting,
  // How long work took there since the last news, relative to what is usual.
  8: optional i32 serviceTimePercent,
  9: optional i32 serviceTimeSamples,
}

struct QueueLength {
  1: i32 serviceHash,
  2: i32 waiting,
}

// A host tells its load to all others several times a second.
struct HostStatus {
  1: list<UpstreamLoadEntry> upstreams,
  2: list<QueueLength> queues,
  3: bool stopping,
  // Epoch under which this host coordinates keys; zero when it does not.
  4: i64 coordinatorEpoch,
}

struct KeyCount {
  1: i32 key,
  2: i32 count,
}

// What the coordinator places keys by.
struct KeyLoadReport {
  1: string serviceName,
  2: list<KeyCount> counts,
}

// A request broke the connection of an upstream that then was gone.
struct CrashReport {
  1: i64 fingerprint,
  2: string upstream,
}

struct StoreChange {
  1: string key,
  2: binary value,
  3: i64 version,
  4: bool removed,
  // True when the value is compressed.
  5: optional bool packed,
}

// What a watch of the store has brought, passed on within a failure domain.
struct StoreUpdate {
  1: i64 after,
  2: i64 version,
  3: list<StoreChange> events,
  // Upstreams that have renewed their records and changed nothing else.
  4: optional list<i32> renewed,
}

// One datagram; the body is one of the messages above.
struct Datagram {
  1: string host,
  2: i64 sequence,
  3: optional HostStatus hostStatus,
  // 4 was the whole key table.
  5: optional KeyLoadReport keyLoad,
  6: optional CrashReport crash,
  7: optional StoreUpdate storeUpdate,
  8: optional OwnersUpdate ownersUpdate,
  9: optional OwnersRequest ownersRequest,
}
