// Messages between entry hosts, and records that they keep in the store. For
// compatibility between versions, fields are only ever added, and only as
// optional.
namespace cpp burdockpulley.wire

// Consecutive keys with one owner, and the owner's grant.
struct KeyRangeRecord {
  // The range begins after the last key of the range before it.
  1: i32 last,
  2: string owner,
  3: i64 incarnation,
  4: i64 token,
  5: string handover,
}

// The key table of one service as stored.
struct KeyTableRecord {
  1: string serviceName,
  2: i64 version,
  3: i64 lastToken,
  4: list<KeyRangeRecord> ranges,
  // Era of the store in which the table was written, if the store has eras.
  5: optional i64 era,
}

// Consecutive keys with one owner.
struct OwnerSpan {
  // Number of keys between the previous span and this one.
  1: i32 skipped,
  // Number of keys in this span.
  2: i32 keys,
  // Index of the owner in OwnersUpdate.owners; -1 when the keys have no owner.
  3: i32 owner,
}

// Owners of the keys of one service. With a base, only the keys that have
// changed since; without, all keys.
struct OwnersUpdate {
  1: string serviceName,
  // Epoch of the sending coordinator.
  2: i64 epoch,
  // Version of the stored key table, and how many steps the coordinator has
  // carried out.
  3: i64 version,
  4: i32 step,
  // Version and step of the base.
  5: optional i64 baseVersion,
  6: optional i32 baseStep,
  7: list<string> owners,
  8: list<OwnerSpan> spans,
  // True if the receiver has to pass the update on, without this field, to the
  // other hosts of its failure domain.
  9: optional bool relay,
}

// Asks for the owners of all keys, after a lost update.
struct OwnersRequest {
  1: string serviceName,
}

// Load of one upstream as one host sees it: the host's own requests there, and
// the last load report that the upstream has sent to this host.
struct UpstreamLoadEntry {
  // Hash of the upstream's id.
  1: i32 upstream,
  // Requests that this host has sent there and that are not answered yet.
  2: i32 outstanding,
  // Fields 3 to 6 are the upstream's load report, if it is recent.
  3: optional i32 running,
  4: optional i32 waiting,
  5: optional i32 slownessPercent,
  6: optional i32 reportAgeMillis,
  // Requests for the upstream's keys that are queued at the host.
  7: optional i32 hostWaiting,
  // Mean service time there since the last status message, in percent of the
  // usual one, and the number of requests that it is the mean of.
  8: optional i32 serviceTimePercent,
  9: optional i32 serviceTimeSamples,
  // Requests a second that the upstream takes from all hosts together, as it
  // said in a response to this host; negative when it no longer says so.
  10: optional double requestLimit,
  // Time since that response.
  11: optional i32 requestLimitAgeMillis,
  // Requests that the host has sent there since its start, while the upstream
  // limits them, is cold or is paced.
  12: optional i32 sent,
  // Time since the upstream's last response to the host, if it is recent and
  // fields 3 to 6 are not set.
  13: optional i32 answeredAgeMillis,
  // Set if the upstream has said to this host that it leaves and its record
  // does not show that: the start of the upstream that has said so.
  14: optional i64 leavingIncarnation,
  // Requests that the upstream has refused or failed since the last status
  // message. They are among the samples of field 9.
  15: optional i32 failures,
}

// Requests of one priority that are queued at the host, and their load. The
// priority of a request combines its team's and its route's.
struct QueuedPriority {
  1: i32 priority,
  2: i32 waiting,
  // Sum of their expected service times.
  3: i32 workMillis,
  // Load of the requests of this priority at a service without keys, whether or
  // not any are queued: those in flight from this host to upstreams, and new
  // ones a second, in hundredths. Missing from older hosts and while only one
  // priority arrives.
  4: optional i32 inFlight,
  5: optional i32 arrivalsHundredths,
  // True for requests of teams above their share of the capacity, which rank
  // behind the others of this priority. Older hosts add both kinds together.
  6: optional bool aboveShare,
}

// Requests of one service that are queued at the host.
struct QueueLength {
  1: i32 serviceHash,
  2: i32 waiting,
  // The same by priority, the most urgent first. Missing from older hosts.
  3: optional list<QueuedPriority> priorities,
}

// Requests of one team, which all hosts charge to the team's quota.
struct TeamUse {
  // Hash of the team's name.
  1: i32 team,
  // Requests that the host has admitted since its start.
  2: i32 admitted,
  // Requests a second of the team at the host, admitted or not, in hundredths.
  3: i32 demandHundredths,
  // What is left of the team's burst as the host sees it, in percent; only sent
  // when it is not full. A host that has just started goes by it.
  4: optional i32 leftPercent,
  // Admitted requests that no upstream has run, since the host's start.
  5: optional i32 refunded,
}

// Load of one host, sent to all others several times a second.
struct HostStatus {
  1: list<UpstreamLoadEntry> upstreams,
  2: list<QueueLength> queues,
  3: bool stopping,
  // Epoch of this host's coordinator lease; zero when it is not coordinator.
  4: i64 coordinatorEpoch,
  // True when this host's last call to the store has failed.
  5: optional bool storeLost,
  // True when the host has lost its paths to all upstreams.
  6: optional bool upstreamsLost,
  // Teams whose requests the host has admitted or refused lately.
  7: optional list<TeamUse> teams,
  // The host's record as in the store, now and then: hosts that the store turns
  // away cannot read that of a new host.
  8: optional string record,
}

// Number of requests for one key.
struct KeyCount {
  1: i32 key,
  2: i32 count,
}

// Request counts by key, from which the coordinator computes the placement of
// keys.
struct KeyLoadReport {
  1: string serviceName,
  2: list<KeyCount> counts,
}

// A request is suspected to have crashed an upstream: its connection broke, and
// the upstream was then unreachable.
struct CrashReport {
  1: i64 fingerprint,
  2: string upstream,
}

// One change of a key in the store.
struct StoreChange {
  1: string key,
  2: binary value,
  3: i64 version,
  4: bool removed,
  // True when the value is compressed.
  5: optional bool packed,
  // Version of the same key's value from which the value is the difference, as
  // a zstd frame. Set with packed, so that older hosts read the store instead.
  6: optional i64 base,
  // True if the value is too large to be sent: the receiver reads it from the
  // store. Set with packed, as above.
  7: optional bool omitted,
}

// Changes of the store, forwarded to the hosts of two failure domains.
struct StoreUpdate {
  // Versions of the store before and after the events.
  1: i64 after,
  2: i64 version,
  3: list<StoreChange> events,
  // Hashes of the ids of upstreams that have renewed their records unchanged.
  4: optional list<i32> renewed,
  // Era of all versions in this message, if the store has eras; the versions are
  // numbers within it.
  5: optional i64 era,
}

// Asks the sender of a StoreUpdate for the changes that it has sent since a
// version of the store.
struct StoreUpdateRequest {
  1: i64 after,
  // Era of the version, if the store has eras.
  2: optional i64 era,
}

// One datagram with one of the messages above as its body.
struct Datagram {
  1: string host,
  2: i64 sequence,
  3: optional HostStatus hostStatus,
  // Id 4 was the whole key table; it must not be reused.
  5: optional KeyLoadReport keyLoad,
  6: optional CrashReport crash,
  7: optional StoreUpdate storeUpdate,
  8: optional OwnersUpdate ownersUpdate,
  9: optional OwnersRequest ownersRequest,
  10: optional StoreUpdateRequest storeUpdateRequest,
}
