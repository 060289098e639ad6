#include "owner_updates.h"

namespace burdockpulley {

namespace {

/// How long changes are told again.
constexpr Duration RepeatTime{1'000'000};
constexpr std::int32_t NoOwner = -1;

void addSpans(wire::OwnersUpdate &News, const std::vector<OwnedSpan> &Spans) {
  std::map<UpstreamId, std::int32_t> Places;
  std::uint32_t Next = 0;
  for (const OwnedSpan &Span : Spans) {
    wire::OwnerSpan Each;
    Each.skipped = static_cast<std::int32_t>(Span.m_first - Next);
    Each.keys = static_cast<std::int32_t>(Span.m_last - Span.m_first + 1);
    Each.owner = NoOwner;
    if (!Span.m_owner.value().empty()) {
      auto [Place, New] = Places.try_emplace(
          Span.m_owner, static_cast<std::int32_t>(News.owners.size()));
      if (New)
        News.owners.push_back(Span.m_owner.value());
      Each.owner = Place->second;
    }
    News.spans.push_back(Each);
    Next = Span.m_last + 1;
  }
}

/// Nothing when the spans do not lie in order within the keys.
std::optional<std::vector<OwnedSpan>>
readSpans(const wire::OwnersUpdate &News) {
  std::vector<OwnedSpan> Spans;
  std::int64_t Next = 0;
  for (const wire::OwnerSpan &Each : News.spans) {
    std::int64_t First = Next + Each.skipped;
    std::int64_t End = First + Each.keys;
    bool Valid = Each.skipped >= 0 && Each.keys > 0 && End <= ShardKeyCount &&
                 Each.owner >= NoOwner &&
                 Each.owner < static_cast<std::int64_t>(News.owners.size());
    if (!Valid)
      return std::nullopt;
    UpstreamId Owner;
    if (Each.owner != NoOwner)
      Owner = UpstreamId(News.owners[static_cast<std::size_t>(Each.owner)]);
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

KeyTable tableOf(const OwnerDelta &Whole) {
  KeyTable Table;
  Table.m_service = Whole.m_service;
  Table.m_version = Whole.m_version;
  for (const OwnedSpan &Span : Whole.m_spans)
    Table.m_ranges.push_back(
        {Span.m_first, Span.m_last, Span.m_owner, {}, {}, {}});
  return Table;
}

} // namespace

std::optional<OwnerDelta>
OwnerDeltaBuilder::changes(const KeyOwners::Snapshot &Current,
                           std::int64_t Epoch, Instant Now) {
  const ServiceId &Service = Current.m_table.m_service;
  if (Current.m_step.m_epoch != Epoch) {
    m_told.erase(Service);
    return std::nullopt;
  }
  auto [Found, New] = m_told.try_emplace(Service);
  Told &Before = Found->second;
  std::uint64_t Version = Current.m_table.m_version;
  if (New || Before.m_next.m_epoch != Epoch)
    Before = {Version, Current.m_step, {}, Version, Current.m_step, {},
              Now,     Current.m_table};
  Before.m_changedSince =
      unite(Before.m_changedSince, changedKeys(Before.m_last, Current.m_table));
  Before.m_last = Current.m_table;
  OwnerDelta Changes;
  Changes.m_service = Service;
  Changes.m_baseVersion = Before.m_baseVersion;
  Changes.m_baseStep = Before.m_base.m_step;
  Changes.m_version = Version;
  Changes.m_step = Current.m_step;
  Changes.m_spans =
      ownersOf(Current.m_table, unite(Before.m_changed, Before.m_changedSince));
  if (Now - Before.m_nextAt >= RepeatTime) {
    Before.m_baseVersion = Before.m_nextVersion;
    Before.m_base = Before.m_next;
    Before.m_changed = std::move(Before.m_changedSince);
    Before.m_changedSince.clear();
    Before.m_nextVersion = Version;
    Before.m_next = Current.m_step;
    Before.m_nextAt = Now;
  }
  return Changes;
}

wire::OwnersUpdate toWire(const OwnerDelta &Changes) {
  wire::OwnersUpdate News;
  News.serviceName = Changes.m_service.value();
  News.epoch = Changes.m_step.m_epoch;
  News.version = static_cast<std::int64_t>(Changes.m_version);
  News.step = static_cast<std::int32_t>(Changes.m_step.m_step);
  News.__set_baseVersion(static_cast<std::int64_t>(Changes.m_baseVersion));
  News.__set_baseStep(static_cast<std::int32_t>(Changes.m_baseStep));
  addSpans(News, Changes.m_spans);
  return News;
}

wire::OwnersUpdate toWire(const KeyOwners::Snapshot &Whole) {
  wire::OwnersUpdate News;
  News.serviceName = Whole.m_table.m_service.value();
  News.epoch = Whole.m_step.m_epoch;
  News.version = static_cast<std::int64_t>(Whole.m_table.m_version);
  News.step = static_cast<std::int32_t>(Whole.m_step.m_step);
  std::vector<OwnedSpan> Spans;
  for (const KeyRange &Range : Whole.m_table.m_ranges)
    Spans.push_back({Range.m_first, Range.m_last, Range.m_owner});
  addSpans(News, Spans);
  return News;
}

std::optional<KeyOwners::ApplyResult>
applyOwnersUpdate(KeyOwners &Owners, const wire::OwnersUpdate &News) {
  auto Spans = readSpans(News);
  if (!Spans)
    return std::nullopt;
  OwnerDelta Changes;
  Changes.m_service = ServiceId(News.serviceName);
  Changes.m_version = static_cast<std::uint64_t>(News.version);
  Changes.m_step = {News.epoch, static_cast<std::uint32_t>(News.step)};
  Changes.m_spans = std::move(*Spans);
  if (News.__isset.baseVersion) {
    Changes.m_baseVersion = static_cast<std::uint64_t>(News.baseVersion);
    Changes.m_baseStep = static_cast<std::uint32_t>(News.baseStep);
    return Owners.apply(Changes);
  }
  if (!coversAll(Changes.m_spans))
    return std::nullopt;
  return Owners.apply(tableOf(Changes), Changes.m_step)
             ? KeyOwners::ApplyResult::Applied
             : KeyOwners::ApplyResult::Stale;
}

} // namespace burdockpulley
