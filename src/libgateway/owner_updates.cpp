#include "owner_updates.h"

namespace burdockpulley {

namespace {

/// Each change is published again for one to two times this long.
constexpr Duration RepeatInterval{1'000'000};
constexpr std::int32_t NoOwner = -1;

void addSpans(wire::OwnersUpdate &Update, const std::vector<OwnedSpan> &Spans) {
  std::map<UpstreamId, std::int32_t> OwnerIndexes;
  std::uint32_t Next = 0;
  for (const OwnedSpan &Span : Spans) {
    wire::OwnerSpan WireSpan;
    WireSpan.skipped = static_cast<std::int32_t>(Span.m_first - Next);
    WireSpan.keys = static_cast<std::int32_t>(Span.m_last - Span.m_first + 1);
    WireSpan.owner = NoOwner;
    if (!Span.m_owner.value().empty()) {
      auto [It, Inserted] = OwnerIndexes.try_emplace(
          Span.m_owner, static_cast<std::int32_t>(Update.owners.size()));
      if (Inserted)
        Update.owners.push_back(Span.m_owner.value());
      WireSpan.owner = It->second;
    }
    Update.spans.push_back(WireSpan);
    Next = Span.m_last + 1;
  }
}

/// Empty when the spans are not in order or exceed the keys of a service, or
/// when an owner is missing in the list of owners.
std::optional<std::vector<OwnedSpan>>
readSpans(const wire::OwnersUpdate &Update) {
  std::vector<OwnedSpan> Spans;
  std::int64_t Next = 0;
  for (const wire::OwnerSpan &WireSpan : Update.spans) {
    std::int64_t First = Next + WireSpan.skipped;
    std::int64_t End = First + WireSpan.keys;
    bool Valid =
        WireSpan.skipped >= 0 && WireSpan.keys > 0 && End <= ShardKeyCount &&
        WireSpan.owner >= NoOwner &&
        WireSpan.owner < static_cast<std::int64_t>(Update.owners.size());
    if (!Valid)
      return std::nullopt;
    UpstreamId Owner;
    if (WireSpan.owner != NoOwner)
      Owner =
          UpstreamId(Update.owners[static_cast<std::size_t>(WireSpan.owner)]);
    Spans.push_back({static_cast<std::uint32_t>(First),
                     static_cast<std::uint32_t>(End - 1), std::move(Owner)});
    Next = End;
  }
  return Spans;
}

bool coversAll(const std::vector<OwnedSpan> &Spans) {
  std::uint32_t Next = 0;
  for (const OwnedSpan &Span : Spans) {
    if (Span.m_first != Next)
      return false;
    Next = Span.m_last + 1;
  }
  return Next == ShardKeyCount;
}

KeyTable tableOf(const OwnerDelta &Delta) {
  KeyTable Table;
  Table.m_service = Delta.m_service;
  Table.m_version = Delta.m_version;
  for (const OwnedSpan &Span : Delta.m_spans)
    Table.m_ranges.push_back(
        {Span.m_first, Span.m_last, Span.m_owner, {}, {}, {}});
  return Table;
}

} // namespace

std::optional<OwnerDelta>
OwnerDeltaBuilder::buildDelta(const KeyOwners::Snapshot &Current,
                              std::int64_t Epoch, Instant Now) {
  const ServiceId &Service = Current.m_table.m_service;
  if (Current.m_step.m_epoch != Epoch) {
    m_published.erase(Service);
    return std::nullopt;
  }
  auto [It, Inserted] = m_published.try_emplace(Service);
  PublishedState &Published = It->second;
  std::uint64_t Version = Current.m_table.m_version;
  if (Inserted || Published.m_nextBaseStep.m_epoch != Epoch)
    Published = {Version, Current.m_step, {}, Version, Current.m_step, {},
                 Now,     Current.m_table};
  Published.m_changedSinceNextBase =
      unite(Published.m_changedSinceNextBase,
            changedKeys(Published.m_lastTable, Current.m_table));
  Published.m_lastTable = Current.m_table;
  OwnerDelta Delta;
  Delta.m_service = Service;
  Delta.m_baseVersion = Published.m_baseVersion;
  Delta.m_baseStep = Published.m_baseStep.m_step;
  Delta.m_version = Version;
  Delta.m_step = Current.m_step;
  Delta.m_spans =
      ownersOf(Current.m_table, unite(Published.m_changedUntilNextBase,
                                      Published.m_changedSinceNextBase));
  if (Now - Published.m_nextBaseAt >= RepeatInterval) {
    Published.m_baseVersion = Published.m_nextBaseVersion;
    Published.m_baseStep = Published.m_nextBaseStep;
    Published.m_changedUntilNextBase =
        std::move(Published.m_changedSinceNextBase);
    Published.m_changedSinceNextBase.clear();
    Published.m_nextBaseVersion = Version;
    Published.m_nextBaseStep = Current.m_step;
    Published.m_nextBaseAt = Now;
  }
  return Delta;
}

wire::OwnersUpdate toWire(const OwnerDelta &Delta) {
  wire::OwnersUpdate Update;
  Update.serviceName = Delta.m_service.value();
  Update.epoch = Delta.m_step.m_epoch;
  Update.version = static_cast<std::int64_t>(Delta.m_version);
  Update.step = static_cast<std::int32_t>(Delta.m_step.m_step);
  Update.__set_baseVersion(static_cast<std::int64_t>(Delta.m_baseVersion));
  Update.__set_baseStep(static_cast<std::int32_t>(Delta.m_baseStep));
  addSpans(Update, Delta.m_spans);
  return Update;
}

wire::OwnersUpdate toWire(const KeyOwners::Snapshot &Snapshot) {
  wire::OwnersUpdate Update;
  Update.serviceName = Snapshot.m_table.m_service.value();
  Update.epoch = Snapshot.m_step.m_epoch;
  Update.version = static_cast<std::int64_t>(Snapshot.m_table.m_version);
  Update.step = static_cast<std::int32_t>(Snapshot.m_step.m_step);
  std::vector<OwnedSpan> Spans;
  for (const KeyRange &Range : Snapshot.m_table.m_ranges)
    Spans.push_back({Range.m_first, Range.m_last, Range.m_owner});
  addSpans(Update, Spans);
  return Update;
}

std::optional<KeyOwners::ApplyResult>
applyOwnersUpdate(KeyOwners &Owners, const wire::OwnersUpdate &Update) {
  auto Spans = readSpans(Update);
  if (!Spans)
    return std::nullopt;
  OwnerDelta Delta;
  Delta.m_service = ServiceId(Update.serviceName);
  Delta.m_version = static_cast<std::uint64_t>(Update.version);
  Delta.m_step = {Update.epoch, static_cast<std::uint32_t>(Update.step)};
  Delta.m_spans = std::move(*Spans);
  if (Update.__isset.baseVersion) {
    Delta.m_baseVersion = static_cast<std::uint64_t>(Update.baseVersion);
    Delta.m_baseStep = static_cast<std::uint32_t>(Update.baseStep);
    return Owners.apply(Delta);
  }
  if (!coversAll(Delta.m_spans))
    return std::nullopt;
  return Owners.apply(tableOf(Delta), Delta.m_step)
             ? KeyOwners::ApplyResult::Applied
             : KeyOwners::ApplyResult::Stale;
}

} // namespace burdockpulley
