#include "burdockpulley/hashing.h"
#include "burdockpulley/trace.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr std::uint64_t SampleEvery = 100;
constexpr std::size_t ParentLength = 55;
constexpr std::size_t SpanIdLength = 16;

bool hexadecimal(std::string_view Text) {
  return Text.find_first_not_of("0123456789abcdef") == Text.npos;
}

bool zero(std::string_view Text) {
  return Text.find_first_not_of('0') == Text.npos;
}

std::string randomId() {
  std::string Id = uniqueUuid();
  std::erase(Id, '-');
  return Id;
}

} // namespace

bool parseTraceParent(std::string_view Text, TraceContext &Context) {
  if (Text.size() < ParentLength || Text[2] != '-' || Text[35] != '-' ||
      Text[52] != '-')
    return false;
  std::string_view Version = Text.substr(0, 2);
  std::string_view Trace = Text.substr(3, 32);
  std::string_view Parent = Text.substr(36, SpanIdLength);
  std::string_view Flags = Text.substr(53, 2);
  for (std::string_view Part : {Version, Trace, Parent, Flags})
    if (!hexadecimal(Part))
      return false;
  // Later versions may add fields behind a further dash.
  bool Longer = Text.size() > ParentLength;
  if (Version == "ff" || (Version == "00" && Longer) ||
      (Longer && Text[ParentLength] != '-') || zero(Trace) || zero(Parent))
    return false;
  char Last = Flags[1];
  int Digit = Last <= '9' ? Last - '0' : Last - 'a' + 10;
  Context = {std::string(Trace), std::string(Parent), (Digit & 1) != 0};
  return true;
}

std::string toTraceParent(const TraceContext &Context) {
  return "00-" + Context.m_traceId + "-" + Context.m_spanId +
         (Context.m_sampled ? "-01" : "-00");
}

Span beginSpan(const TraceContext &Parent, std::string Name, Instant Now) {
  Span Begun;
  Begun.m_context = Parent;
  Begun.m_parentId = Parent.m_spanId;
  Begun.m_name = std::move(Name);
  Begun.m_start = Now;
  if (Parent.m_traceId.empty()) {
    Begun.m_context.m_traceId = randomId();
    Begun.m_context.m_sampled =
        stableHash(Begun.m_context.m_traceId) % SampleEvery == 0;
  }
  Begun.m_context.m_spanId = randomId().substr(0, SpanIdLength);
  return Begun;
}

} // namespace burdockpulley
