#include "burdockpulley/hashing.h"
#include "burdockpulley/trace.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// One in this many new traces is sampled.
constexpr std::uint64_t TracesPerSample = 100;
constexpr std::size_t TraceParentLength = 55;
constexpr std::size_t SpanIdLength = 16;

bool isLowerCaseHex(std::string_view Text) {
  return Text.find_first_not_of("0123456789abcdef") == Text.npos;
}

bool isAllZeros(std::string_view Text) {
  return Text.find_first_not_of('0') == Text.npos;
}

std::string randomHexId() {
  std::string Id = uniqueUuid();
  std::erase(Id, '-');
  return Id;
}

} // namespace

bool parseTraceParent(std::string_view Text, TraceContext &Context) {
  if (Text.size() < TraceParentLength || Text[2] != '-' || Text[35] != '-' ||
      Text[52] != '-')
    return false;
  std::string_view Version = Text.substr(0, 2);
  std::string_view TraceId = Text.substr(3, 32);
  std::string_view ParentId = Text.substr(36, SpanIdLength);
  std::string_view Flags = Text.substr(53, 2);
  for (std::string_view Field : {Version, TraceId, ParentId, Flags})
    if (!isLowerCaseHex(Field))
      return false;
  // Later versions may append fields after another dash.
  bool HasMoreFields = Text.size() > TraceParentLength;
  if (Version == "ff" || (Version == "00" && HasMoreFields) ||
      (HasMoreFields && Text[TraceParentLength] != '-') ||
      isAllZeros(TraceId) || isAllZeros(ParentId))
    return false;
  char FlagDigit = Flags[1];
  int FlagBits = FlagDigit <= '9' ? FlagDigit - '0' : FlagDigit - 'a' + 10;
  Context = {std::string(TraceId), std::string(ParentId), (FlagBits & 1) != 0};
  return true;
}

std::string toTraceParent(const TraceContext &Context) {
  return "00-" + Context.m_traceId + "-" + Context.m_spanId +
         (Context.m_sampled ? "-01" : "-00");
}

Span beginSpan(const TraceContext &Parent, std::string Name, Instant Now) {
  Span NewSpan;
  NewSpan.m_context = Parent;
  NewSpan.m_parentId = Parent.m_spanId;
  NewSpan.m_name = std::move(Name);
  NewSpan.m_start = Now;
  if (Parent.m_traceId.empty()) {
    NewSpan.m_context.m_traceId = randomHexId();
    NewSpan.m_context.m_sampled =
        stableHash(NewSpan.m_context.m_traceId) % TracesPerSample == 0;
  }
  NewSpan.m_context.m_spanId = randomHexId().substr(0, SpanIdLength);
  return NewSpan;
}

} // namespace burdockpulley
