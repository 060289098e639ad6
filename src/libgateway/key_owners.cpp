#include "burdockpulley/key_owners.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace burdockpulley {

namespace {

/// Puts spans over a table's ranges.
std::vector<KeyRange> overlaid(const std::vector<KeyRange> &Ranges,
                               const std::vector<OwnedSpan> &Spans) {
  std::vector<KeyRange> Result;
  auto Add = [&Result](std::uint32_t First, std::uint32_t Last,
                       const UpstreamId &Owner) {
    if (First > Last)
      return;
    if (!Result.empty() && Result.back().m_owner == Owner)
      Result.back().m_last = Last;
    else
      Result.push_back({First, Last, Owner, {}, {}, {}});
  };
  std::size_t At = 0;
  std::uint32_t Next = 0;
  auto AddUntil = [&](std::uint32_t End) { // Keys below End, as they were.
    while (Next < End) {
      while (Ranges[At].m_last < Next)
        ++At;
      std::uint32_t Last = std::min(Ranges[At].m_last, End - 1);
      Add(Next, Last, Ranges[At].m_owner);
      Next = Last + 1;
    }
  };
  for (const OwnedSpan &Span : Spans) {
    AddUntil(Span.m_first);
    Add(Span.m_first, Span.m_last, Span.m_owner);
    Next = Span.m_last + 1;
  }
  AddUntil(ShardKeyCount);
  return Result;
}

/// Adds a span that begins no earlier than the last one.
void append(std::vector<KeySpan> &Spans, const KeySpan &More) {
  if (!Spans.empty() && More.m_first <= Spans.back().m_last + 1)
    Spans.back().m_last = std::max(Spans.back().m_last, More.m_last);
  else
    Spans.push_back(More);
}

} // namespace

std::vector<KeySpan> changedKeys(const KeyTable &Before,
                                 const KeyTable &After) {
  std::vector<KeySpan> Changed;
  std::size_t Old = 0;
  std::size_t New = 0;
  std::uint32_t First = 0;
  while (Old < Before.m_ranges.size() && New < After.m_ranges.size()) {
    const KeyRange &Was = Before.m_ranges[Old];
    const KeyRange &Is = After.m_ranges[New];
    std::uint32_t Last = std::min(Was.m_last, Is.m_last);
    if (Was.m_owner != Is.m_owner)
      append(Changed, {First, Last});
    Old += Was.m_last == Last ? 1 : 0;
    New += Is.m_last == Last ? 1 : 0;
    First = Last + 1;
  }
  return Changed;
}

std::vector<KeySpan> unite(const std::vector<KeySpan> &Left,
                           const std::vector<KeySpan> &Right) {
  std::vector<KeySpan> Sorted;
  std::merge(Left.begin(), Left.end(), Right.begin(), Right.end(),
             std::back_inserter(Sorted),
             [](const KeySpan &One, const KeySpan &Other) {
               return One.m_first < Other.m_first;
             });
  std::vector<KeySpan> United;
  for (const KeySpan &Each : Sorted)
    append(United, Each);
  return United;
}

std::vector<OwnedSpan> ownersOf(const KeyTable &Table,
                                const std::vector<KeySpan> &Keys) {
  std::vector<OwnedSpan> Spans;
  auto Range = Table.m_ranges.begin();
  for (const KeySpan &Each : Keys)
    for (std::uint32_t Next = Each.m_first; Next <= Each.m_last;) {
      while (Range->m_last < Next)
        ++Range;
      std::uint32_t Last = std::min(Range->m_last, Each.m_last);
      Spans.push_back({Next, Last, Range->m_owner});
      Next = Last + 1;
    }
  return Spans;
}

bool KeyOwners::apply(const KeyTable &Table, CoordinatorStep Step) {
  auto [Found, New] = m_tables.try_emplace(Table.m_service);
  Snapshot &Old = Found->second;
  if (!New && std::tie(Table.m_version, Step.m_step) <=
                  std::tie(Old.m_table.m_version, Old.m_step.m_step))
    return false;
  Old = {Table, Step};
  return true;
}

KeyOwners::ApplyResult KeyOwners::apply(const OwnerDelta &Changes) {
  auto Found = m_tables.find(Changes.m_service);
  if (Found == m_tables.end())
    return ApplyResult::Gap;
  Snapshot &Old = Found->second;
  auto Has = std::tie(Old.m_table.m_version, Old.m_step.m_step);
  if (std::tie(Changes.m_version, Changes.m_step.m_step) <= Has)
    return ApplyResult::Stale;
  bool Follows = Old.m_step.m_epoch == Changes.m_step.m_epoch &&
                 std::tie(Changes.m_baseVersion, Changes.m_baseStep) <= Has;
  if (!Follows || Old.m_table.m_ranges.empty())
    return ApplyResult::Gap;
  Old.m_table.m_ranges = overlaid(Old.m_table.m_ranges, Changes.m_spans);
  Old.m_table.m_version = Changes.m_version;
  Old.m_step = Changes.m_step;
  return ApplyResult::Applied;
}

UpstreamId KeyOwners::owner(const ServiceId &Service, ShardKey Key) const {
  auto Found = m_tables.find(Service);
  if (Found == m_tables.end())
    return {};
  const KeyRange *Range = Found->second.m_table.find(Key);
  return Range ? Range->m_owner : UpstreamId();
}

} // namespace burdockpulley
