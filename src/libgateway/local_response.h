#ifndef BURDOCKPULLEY_LIBGATEWAY_LOCAL_RESPONSE_H
#define BURDOCKPULLEY_LIBGATEWAY_LOCAL_RESPONSE_H

#include "burdockpulley/http.h"

namespace burdockpulley {

/// Statuses that this host gives by itself. Unavailable promises that the
/// request has not run and will not; BadGateway and GatewayTimeout promise
/// nothing.
enum class LocalStatus {
  BadRequest = 400,
  NotFound = 404,
  BadGateway = 502,
  Unavailable = 503,
  GatewayTimeout = 504,
};

/// An answer of this host. A positive \p RetryAfter says when to come back.
/// Thread safety: safe.
HttpResponse localResponse(LocalStatus Status, Duration RetryAfter = {});

/// True for headers that concern one connection only and are not passed on.
/// Thread safety: safe.
bool isConnectionHeader(std::string_view Name);

/// True when two header names are the same, whatever their case.
/// Thread safety: safe.
bool sameHeader(std::string_view Left, std::string_view Right);

} // namespace burdockpulley

#endif
