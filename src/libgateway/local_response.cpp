#include "local_response.h"

#include <strings.h>

#include <array>
#include <cstdio>

namespace burdockpulley {

bool sameHeaderName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

bool isHopByHopHeader(std::string_view Name) {
  constexpr std::array<std::string_view, 11> Names = {"Connection",
                                                      "Keep-Alive",
                                                      "Transfer-Encoding",
                                                      "Content-Length",
                                                      "TE",
                                                      "Trailer",
                                                      "Upgrade",
                                                      "Expect",
                                                      "Proxy-Connection",
                                                      "Proxy-Authorization",
                                                      "Proxy-Authenticate"};
  for (std::string_view HopByHopName : Names)
    if (sameHeaderName(Name, HopByHopName))
      return true;
  return false;
}

HttpResponse localResponse(LocalStatus Status, Duration RetryAfter) {
  HttpResponse Response;
  Response.m_status = static_cast<int>(Status);
  if (RetryAfter > Duration()) {
    char Text[24];
    snprintf(Text, sizeof(Text), "%.3f",
             std::chrono::duration<double>(RetryAfter).count());
    Response.m_headers.push_back({"Retry-After", Text});
  }
  return Response;
}

} // namespace burdockpulley
