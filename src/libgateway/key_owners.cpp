#include "burdockpulley/key_owners.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace burdockpulley {

namespace {

/// The ranges of a table with the owners of \p Spans in place of its own. Both
/// are in order of their keys.
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
  std::size_t Index = 0;
  std::uint32_t Next = 0;
  // Adds the keys below End with their owners in Ranges.
  auto AddUntil = [&](std::uint32_t End) {
    while (Next < End) {
      while (Ranges[Index].m_last < Next)
        ++Index;
      std::uint32_t Last = std::min(Ranges[Index].m_last, End - 1);
      Add(Next, Last, Ranges[Index].m_owner);
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

/// Appends a span that starts no earlier than the last one, and merges it with
/// the last one where they touch or overlap.
void append(std::vector<KeySpan> &Spans, const KeySpan &Added) {
  if (!Spans.empty() && Added.m_first <= Spans.back().m_last + 1)
    Spans.back().m_last = std::max(Spans.back().m_last, Added.m_last);
  else
    Spans.push_back(Added);
}

} // namespace

std::vector<KeySpan> changedKeys(const KeyTable &Before,
                                 const KeyTable &After) {
  std::vector<KeySpan> Changed;
  std::size_t BeforeIndex = 0;
  std::size_t AfterIndex = 0;
  std::uint32_t First = 0;
  while (BeforeIndex < Before.m_ranges.size() &&
         AfterIndex < After.m_ranges.size()) {
    const KeyRange &BeforeRange = Before.m_ranges[BeforeIndex];
    const KeyRange &AfterRange = After.m_ranges[AfterIndex];
    std::uint32_t Last = std::min(BeforeRange.m_last, AfterRange.m_last);
    if (BeforeRange.m_owner != AfterRange.m_owner)
      append(Changed, {First, Last});
    BeforeIndex += BeforeRange.m_last == Last ? 1 : 0;
    AfterIndex += AfterRange.m_last == Last ? 1 : 0;
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
  for (const KeySpan &Span : Sorted)
    append(United, Span);
  return United;
}

std::vector<OwnedSpan> ownersOf(const KeyTable &Table,
                                const std::vector<KeySpan> &Keys) {
  std::vector<OwnedSpan> Spans;
  auto Range = Table.m_ranges.begin();
  for (const KeySpan &Span : Keys)
    for (std::uint32_t Next = Span.m_first; Next <= Span.m_last;) {
      while (Range->m_last < Next)
        ++Range;
      std::uint32_t Last = std::min(Range->m_last, Span.m_last);
      Spans.push_back({Next, Last, Range->m_owner});
      Next = Last + 1;
    }
  return Spans;
}

bool KeyOwners::apply(const KeyTable &Table, CoordinatorStep Step) {
  auto [It, Inserted] = m_tables.try_emplace(Table.m_service);
  Snapshot &Known = It->second;
  if (!Inserted && std::tie(Table.m_version, Step.m_step) <=
                       std::tie(Known.m_table.m_version, Known.m_step.m_step))
    return false;
  Known = {Table, Step};
  return true;
}

KeyOwners::ApplyResult KeyOwners::apply(const OwnerDelta &Delta) {
  auto It = m_tables.find(Delta.m_service);
  if (It == m_tables.end())
    return ApplyResult::Gap;
  Snapshot &Known = It->second;
  auto KnownState = std::tie(Known.m_table.m_version, Known.m_step.m_step);
  if (std::tie(Delta.m_version, Delta.m_step.m_step) <= KnownState)
    return ApplyResult::Stale;
  bool Follows = Known.m_step.m_epoch == Delta.m_step.m_epoch &&
                 std::tie(Delta.m_baseVersion, Delta.m_baseStep) <= KnownState;
  if (!Follows || Known.m_table.m_ranges.empty())
    return ApplyResult::Gap;
  Known.m_table.m_ranges = overlaid(Known.m_table.m_ranges, Delta.m_spans);
  Known.m_table.m_version = Delta.m_version;
  Known.m_step = Delta.m_step;
  return ApplyResult::Applied;
}

UpstreamId KeyOwners::owner(const ServiceId &Service, ShardKey Key) const {
  auto It = m_tables.find(Service);
  if (It == m_tables.end())
    return {};
  const KeyRange *Range = It->second.m_table.find(Key);
  return Range ? Range->m_owner : UpstreamId();
}

} // namespace burdockpulley
