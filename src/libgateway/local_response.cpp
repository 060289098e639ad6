#include "local_response.h"

#include <strings.h>

#include <array>
#include <cstdio>

namespace burdockpulley {

bool sameHeader(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

bool isConnectionHeader(std::string_view Name) {
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
  for (std::string_view Each : Names)
    if (sameHeader(Name, Each))
      return true;
  return false;
}

HttpResponse localResponse(LocalStatus Status, Duration RetryAfter) {
  HttpResponse Answer;
  Answer.m_status = static_cast<int>(Status);
  if (RetryAfter > Duration()) {
    char Text[24];
    snprintf(Text, sizeof(Text), "%.3f",
             std::chrono::duration<double>(RetryAfter).count());
    Answer.m_headers.push_back({"Retry-After", Text});
  }
  return Answer;
}

} // namespace burdockpulley
