#ifndef BURDOCKPULLEY_LIBGATEWAY_LOCAL_RESPONSE_H
#define BURDOCKPULLEY_LIBGATEWAY_LOCAL_RESPONSE_H

#include "burdockpulley/http.h"

namespace burdockpulley {

/// Statuses of responses that this host generates itself. Unavailable
/// guarantees that the request has not run and will not run; with BadGateway
/// and GatewayTimeout it may have run.
enum class LocalStatus {
  BadRequest = 400,
  Unauthorized = 401,
  NotFound = 404,
  TooManyRequests = 429,
  BadGateway = 502,
  Unavailable = 503,
  GatewayTimeout = 504,
};

/// Makes a response of this host. A positive \p RetryAfter becomes its
/// Retry-After header, in seconds.
/// Thread safety: safe.
HttpResponse localResponse(LocalStatus Status, Duration RetryAfter = {});

/// True for hop-by-hop headers: they concern one connection only and are not
/// forwarded.
/// Thread safety: safe.
bool isHopByHopHeader(std::string_view Name);

/// Compares two header names, ignoring case.
/// Thread safety: safe.
bool sameHeaderName(std::string_view Left, std::string_view Right);

} // namespace burdockpulley

#endif
