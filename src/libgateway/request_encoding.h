#ifndef BURDOCKPULLEY_LIBGATEWAY_REQUEST_ENCODING_H
#define BURDOCKPULLEY_LIBGATEWAY_REQUEST_ENCODING_H

#include "burdockpulley/platform_codec.h"
#include "pending_request.h"

namespace burdockpulley {

/// The caller's request without headers that are not passed on, and with the
/// time that is left. Its body is the caller's, which is not copied; the
/// exchange lives at least as long as the returned request.
/// Thread safety: safe.
HttpRequest encodeRequest(const PendingRequest &Pending,
                          const HeaderNames &Names, Instant Now);

/// Removes the headers of an upstream's response that are not passed on.
/// \p ForCaller: the response goes to the caller, not to the host that has
/// forwarded the request. Thread safety: safe.
void removeInternalHeaders(HttpResponse &Response, const HeaderNames &Names,
                           bool ForCaller);

/// The same for a response that another host has generated itself.
/// Thread safety: safe.
void removeInternalHeaders(HttpResponse &Response);

} // namespace burdockpulley

#endif
