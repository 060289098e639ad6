#include "hop_tracing.h"

#include <strings.h>

namespace burdockpulley {

namespace {

constexpr const char *TraceParent = "traceparent";

bool carriesTrace(const wire::Header &Header) {
  return strcasecmp(Header.name.c_str(), TraceParent) == 0;
}

} // namespace

TraceContext readTrace(const std::vector<wire::Header> &Headers) {
  TraceContext Context;
  for (const wire::Header &Header : Headers)
    if (carriesTrace(Header) && parseTraceParent(Header.value, Context))
      return Context;
  return Context;
}

void writeTrace(const TraceContext &Context,
                std::vector<wire::Header> &Headers) {
  std::erase_if(Headers, carriesTrace);
  wire::Header Header;
  Header.name = TraceParent;
  Header.value = toTraceParent(Context);
  Headers.push_back(std::move(Header));
}

} // namespace burdockpulley
