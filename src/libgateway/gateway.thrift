// What entry hosts tell each other, and what they keep in the store. Fields
// are only ever added, as optional.
namespace cpp burdockpulley.wire

struct KeyRangeRecord {
  1: i32 last,
  2: string owner,
  3: i64 birth,
  4: i64 token,
  5: string handover,
}

// The key table of one service, as it stands in the store and is passed on.
struct KeyTableRecord {
  1: string serviceName,
  2: i64 version,
  3: i64 lastToken,
  4: list<KeyRangeRecord> ranges,
  // Counts what the coordinator has carried out since that version.
  5: optional i32 step,
}

// One host's requests at one upstream, and the newest report it has seen.
struct UpstreamNews {
  1: i32 upstream,
  2: i32 outstanding,
  3: optional i32 running,
  4: optional i32 waiting,
  5: optional i32 slownessPercent,
  6: optional i32 reportAgeMillis,
  // Requests for the upstream's keys that wait at the host.
  7: optional i32 hostWaiting,
  // How long work took there since the last news, relative to what is usual.
  8: optional i32 speedPercent,
  9: optional i32 speedSamples,
}

struct QueueNews {
  1: i32 serviceHash,
  2: i32 waiting,
}

// A host tells its load to all others several times a second.
struct HostNews {
  1: list<UpstreamNews> upstreams,
  2: list<QueueNews> queues,
  3: bool stopping,
  // Epoch under which this host coordinates keys; zero when it does not.
  4: i64 coordinatorEpoch,
}

struct KeyCount {
  1: i32 key,
  2: i32 count,
}

// What the coordinator places keys by.
struct KeyLoadNews {
  1: string serviceName,
  2: list<KeyCount> counts,
}

// A request broke the connection of an upstream that then was gone.
struct CrashNews {
  1: i64 fingerprint,
  2: string upstream,
}

struct StoreEventNews {
  1: string key,
  2: binary value,
  3: i64 version,
  4: bool removed,
}

// What a watch of the store has brought, passed on within a failure domain.
struct StoreNews {
  1: i64 after,
  2: i64 version,
  3: list<StoreEventNews> events,
}

// One datagram; the body is one of the messages above.
struct Datagram {
  1: string host,
  2: i64 sequence,
  3: optional HostNews news,
  4: optional KeyTableRecord table,
  5: optional KeyLoadNews load,
  6: optional CrashNews crash,
  7: optional StoreNews store,
}
