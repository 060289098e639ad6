#include "burdockpulley/key_owners.h"

#include <algorithm>
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

} // namespace

std::vector<OwnedSpan> ownerChanges(const KeyTable &Before,
                                    const KeyTable &After) {
  std::vector<OwnedSpan> Spans;
  std::size_t Old = 0;
  std::size_t New = 0;
  std::uint32_t First = 0;
  while (Old < Before.m_ranges.size() && New < After.m_ranges.size()) {
    const KeyRange &Was = Before.m_ranges[Old];
    const KeyRange &Is = After.m_ranges[New];
    std::uint32_t Last = std::min(Was.m_last, Is.m_last);
    if (Was.m_owner != Is.m_owner) {
      bool Joins = !Spans.empty() && Spans.back().m_last + 1 == First &&
                   Spans.back().m_owner == Is.m_owner;
      if (Joins)
        Spans.back().m_last = Last;
      else
        Spans.push_back({First, Last, Is.m_owner});
    }
    Old += Was.m_last == Last ? 1 : 0;
    New += Is.m_last == Last ? 1 : 0;
    First = Last + 1;
  }
  return Spans;
}

bool KeyOwners::apply(const KeyTable &Table, OwnersStep Step) {
  auto [Found, New] = m_tables.try_emplace(Table.m_service);
  Known &Old = Found->second;
  if (!New && std::tie(Table.m_version, Step.m_step) <=
                  std::tie(Old.m_table.m_version, Old.m_step.m_step))
    return false;
  Old = {Table, Step};
  return true;
}

KeyOwners::Fit KeyOwners::apply(const OwnerChanges &Changes) {
  auto Found = m_tables.find(Changes.m_service);
  if (Found == m_tables.end())
    return Fit::Gap;
  Known &Old = Found->second;
  auto Has = std::tie(Old.m_table.m_version, Old.m_step.m_step);
  if (std::tie(Changes.m_version, Changes.m_step.m_step) <= Has)
    return Fit::Old;
  bool Follows = Old.m_step.m_epoch == Changes.m_step.m_epoch &&
                 std::tie(Changes.m_baseVersion, Changes.m_baseStep) <= Has;
  if (!Follows || Old.m_table.m_ranges.empty())
    return Fit::Gap;
  Old.m_table.m_ranges = overlaid(Old.m_table.m_ranges, Changes.m_spans);
  Old.m_table.m_version = Changes.m_version;
  Old.m_step = Changes.m_step;
  return Fit::Applied;
}

UpstreamId KeyOwners::owner(const ServiceId &Service, ShardKey Key) const {
  auto Found = m_tables.find(Service);
  if (Found == m_tables.end())
    return {};
  const KeyRange *Range = Found->second.m_table.find(Key);
  return Range ? Range->m_owner : UpstreamId();
}

} // namespace burdockpulley
