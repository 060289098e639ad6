#include "error_answer.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

const char *toString(Outcome Value) {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

HttpResponse errorAnswer(int Status, Outcome Value, const std::string &Code,
                         const std::string &RequestId, Duration RetryAfter) {
  nlohmann::json Body = {{"code", Code},
                         {"outcome", toString(Value)},
                         {"mayRetry", Value == Outcome::NotRun},
                         {"requestId", RequestId}};
  HttpResponse Response;
  Response.m_status = Status;
  Response.m_headers = {{"Content-Type", "application/json"},
                        {"X-Request-Id", RequestId},
                        {"X-Burdockpulley-Outcome", toString(Value)}};
  if (RetryAfter > Duration()) {
    Body["retryAfterMs"] = RetryAfter.count() / 1000;
    std::int64_t Seconds = (RetryAfter.count() + 999'999) / 1'000'000;
    Response.m_headers.push_back({"Retry-After", std::to_string(Seconds)});
  }
  Response.m_body = Body.dump();
  return Response;
}

} // namespace burdockpulley
