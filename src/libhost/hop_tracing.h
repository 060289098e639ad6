#ifndef BURDOCKPULLEY_LIBHOST_HOP_TRACING_H
#define BURDOCKPULLEY_LIBHOST_HOP_TRACING_H

#include "burdockpulley/trace.h"
#include "peer_types.h"

#include <string>
#include <vector>

namespace burdockpulley {

/// The trace context that the headers of a request carry; an empty one when
/// they have none that is valid.
TraceContext readTrace(const std::vector<wire::Header> &Headers);

/// Replaces the trace context that the headers carry.
void writeTrace(const TraceContext &Context,
                std::vector<wire::Header> &Headers);

} // namespace burdockpulley

#endif
