#include "burdockpulley/key_table.h"

#include "burdockpulley/thrift_codec.h"
#include "gateway_types.h"

#include <algorithm>

namespace burdockpulley {

const KeyRange *KeyTable::find(ShardKey Key) const {
  auto It = std::lower_bound(m_ranges.begin(), m_ranges.end(), Key.value(),
                             [](const KeyRange &Range, std::uint32_t Value) {
                               return Range.m_last < Value;
                             });
  return It == m_ranges.end() ? nullptr : &*It;
}

namespace {

wire::KeyTableRecord toWire(const KeyTable &Table) {
  wire::KeyTableRecord Record;
  Record.serviceName = Table.m_service.value();
  Record.version = static_cast<std::int64_t>(Table.m_version);
  Record.lastToken = static_cast<std::int64_t>(Table.m_lastToken.value());
  if (Table.m_era.value() != 0)
    Record.__set_era(Table.m_era.value());
  for (const KeyRange &Range : Table.m_ranges) {
    wire::KeyRangeRecord RangeRecord;
    RangeRecord.last = static_cast<std::int32_t>(Range.m_last);
    RangeRecord.owner = Range.m_owner.value();
    RangeRecord.incarnation = Range.m_incarnation.value();
    RangeRecord.token = static_cast<std::int64_t>(Range.m_token.value());
    RangeRecord.handover = Range.m_handover;
    Record.ranges.push_back(std::move(RangeRecord));
  }
  return Record;
}

std::optional<KeyTable> fromWire(const wire::KeyTableRecord &Record) {
  KeyTable Table;
  Table.m_service = ServiceId(Record.serviceName);
  Table.m_version = static_cast<std::uint64_t>(Record.version);
  Table.m_lastToken =
      FencingToken(static_cast<std::uint64_t>(Record.lastToken));
  Table.m_era = StoreEra(Record.era);
  std::uint32_t Next = 0;
  for (const wire::KeyRangeRecord &RangeRecord : Record.ranges) {
    KeyRange Range;
    Range.m_first = Next;
    Range.m_last = static_cast<std::uint32_t>(RangeRecord.last);
    if (RangeRecord.last < 0 || Range.m_last < Range.m_first ||
        Range.m_last >= ShardKeyCount)
      return std::nullopt;
    Range.m_owner = UpstreamId(RangeRecord.owner);
    Range.m_incarnation = UpstreamIncarnation(RangeRecord.incarnation);
    Range.m_token = FencingToken(static_cast<std::uint64_t>(RangeRecord.token));
    Range.m_handover = RangeRecord.handover;
    Next = Range.m_last + 1;
    Table.m_ranges.push_back(std::move(Range));
  }
  if (Next != ShardKeyCount)
    return std::nullopt;
  return Table;
}

} // namespace

std::string encodeKeyTable(const KeyTable &Table) {
  return encodeThrift(toWire(Table));
}

std::optional<KeyTable> decodeKeyTable(const std::string &Bytes) {
  wire::KeyTableRecord Record;
  if (!decodeThrift(Bytes, Record))
    return std::nullopt;
  return fromWire(Record);
}

void mergeRanges(std::vector<KeyRange> &Ranges) {
  std::vector<KeyRange> Merged;
  for (KeyRange &Range : Ranges) {
    bool CanMerge = !Merged.empty() && Merged.back().m_owner == Range.m_owner &&
                    Merged.back().m_incarnation == Range.m_incarnation &&
                    Merged.back().m_token == Range.m_token &&
                    Merged.back().m_handover == Range.m_handover;
    if (CanMerge)
      Merged.back().m_last = Range.m_last;
    else
      Merged.push_back(std::move(Range));
  }
  Ranges = std::move(Merged);
}

} // namespace burdockpulley
