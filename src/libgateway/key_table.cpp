#include "burdockpulley/key_table.h"

#include "burdockpulley/thrift_codec.h"
#include "gateway_types.h"

#include <algorithm>

namespace burdockpulley {

const KeyRange *KeyTable::find(ShardKey Key) const {
  auto Found = std::lower_bound(m_ranges.begin(), m_ranges.end(), Key.value(),
                                [](const KeyRange &Range, std::uint32_t Value) {
                                  return Range.m_last < Value;
                                });
  return Found == m_ranges.end() ? nullptr : &*Found;
}

namespace {

wire::KeyTableRecord toWire(const KeyTable &Table) {
  wire::KeyTableRecord Record;
  Record.serviceName = Table.m_service.value();
  Record.version = static_cast<std::int64_t>(Table.m_version);
  Record.lastToken = static_cast<std::int64_t>(Table.m_lastToken.value());
  for (const KeyRange &Range : Table.m_ranges) {
    wire::KeyRangeRecord Row;
    Row.last = static_cast<std::int32_t>(Range.m_last);
    Row.owner = Range.m_owner.value();
    Row.incarnation = Range.m_incarnation.value();
    Row.token = static_cast<std::int64_t>(Range.m_token.value());
    Row.handover = Range.m_handover;
    Record.ranges.push_back(std::move(Row));
  }
  return Record;
}

std::optional<KeyTable> fromWire(const wire::KeyTableRecord &Record) {
  KeyTable Table;
  Table.m_service = ServiceId(Record.serviceName);
  Table.m_version = static_cast<std::uint64_t>(Record.version);
  Table.m_lastToken =
      FencingToken(static_cast<std::uint64_t>(Record.lastToken));
  std::uint32_t Next = 0;
  for (const wire::KeyRangeRecord &Row : Record.ranges) {
    KeyRange Range;
    Range.m_first = Next;
    Range.m_last = static_cast<std::uint32_t>(Row.last);
    if (Row.last < 0 || Range.m_last < Range.m_first ||
        Range.m_last >= ShardKeyCount)
      return std::nullopt;
    Range.m_owner = UpstreamId(Row.owner);
    Range.m_incarnation = UpstreamIncarnation(Row.incarnation);
    Range.m_token = FencingToken(static_cast<std::uint64_t>(Row.token));
    Range.m_handover = Row.handover;
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
  for (KeyRange &Each : Ranges) {
    bool Joins = !Merged.empty() && Merged.back().m_owner == Each.m_owner &&
                 Merged.back().m_incarnation == Each.m_incarnation &&
                 Merged.back().m_token == Each.m_token &&
                 Merged.back().m_handover == Each.m_handover;
    if (Joins)
      Merged.back().m_last = Each.m_last;
    else
      Merged.push_back(std::move(Each));
  }
  Ranges = std::move(Merged);
}

} // namespace burdockpulley
