#include "burdockpulley/channel_pool.h"
#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "framing.h"

#include <strings.h>

#include <algorithm>

namespace burdockpulley {

namespace {

/// The server may be about to close a connection that was idle for longer.
constexpr Duration RecentUseLimit{2'000'000};
/// Connections that have been idle for longer are closed. ChannelPool takes one
/// that has been idle for up to half of this for recently used.
constexpr Duration IdleLimit = RecentUseLimit * 2;

ChannelPoolSettings poolSettings(std::uint32_t MaxConnections,
                                 ResponseMemory *Memory) {
  ChannelPoolSettings Settings;
  Settings.m_maxConnections = MaxConnections;
  // Only the timeout of a call ends it.
  Settings.m_connectTimeout = Duration::max();
  Settings.m_unacknowledgedTimeout = Duration();
  Settings.m_idleTimeout = IdleLimit;
  Settings.m_responseMemory = Memory;
  return Settings;
}

HttpError translate(ChannelError Error) {
  switch (Error) {
  case ChannelError::None:
    return HttpError::None;
  case ChannelError::ConnectFailed:
    return HttpError::ConnectFailed;
  case ChannelError::TimedOut:
    return HttpError::TimedOut;
  case ChannelError::Interrupted:
  case ChannelError::BadAnswer:
    break;
  }
  return HttpError::Interrupted;
}

std::size_t countHeader(const HttpResponse &Response, const char *Name) {
  return static_cast<std::size_t>(
      std::count_if(Response.m_headers.begin(), Response.m_headers.end(),
                    [&](const HttpHeader &Header) {
                      return strcasecmp(Header.m_name.c_str(), Name) == 0;
                    }));
}

/// Returns true if the response's framing defines where the body ends, and all
/// of the body has been received.
bool isComplete(const HttpResponse &Response, bool IsHeadRequest) {
  std::size_t ContentLengths = countHeader(Response, "Content-Length");
  std::size_t TransferEncodings = countHeader(Response, "Transfer-Encoding");
  if (ContentLengths + TransferEncodings > 1)
    return false;
  if (detail::endsWithHead(Response.m_status, IsHeadRequest))
    return true;
  if (TransferEncodings == 1)
    return strcasecmp(std::string(Response.header("Transfer-Encoding")).c_str(),
                      "chunked") == 0;
  return ContentLengths == 1 && Response.header("Content-Length") ==
                                    std::to_string(Response.m_body.size());
}

} // namespace

HttpClient::HttpClient(event_base *Base, const Endpoint &Server,
                       std::uint32_t MaxConnections, ResponseMemory *Memory)
    : m_server(toString(Server)), m_maxConnections(MaxConnections),
      m_connections(std::make_unique<ChannelPool>(
          Base, Server, poolSettings(MaxConnections, Memory))) {}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpRequest &&Request, Duration Timeout, Callback Done,
                      Reuse AllowedReuse) {
  QueuedCall NextCall{std::move(Request), bootClockNow() + Timeout,
                      std::move(Done), AllowedReuse};
  if (m_inFlight < m_maxConnections)
    start(std::move(NextCall));
  else
    m_queue.push_back(std::move(NextCall));
}

void HttpClient::start(QueuedCall &&NextCall) {
  Duration Remaining = NextCall.m_deadline - bootClockNow();
  if (Remaining <= Duration())
    return NextCall.m_done(HttpError::ConnectFailed, {});
  ++m_inFlight;
  HttpRequest &Request = NextCall.m_request;
  if (Request.header("Host").empty())
    Request.m_headers.push_back({"Host", m_server});
  auto AllowedReuse = NextCall.m_reuse == Reuse::Any
                          ? ChannelPool::Reuse::Any
                          : ChannelPool::Reuse::RecentlyUsed;
  bool IsHeadRequest = Request.m_method == "HEAD";
  m_connections->call(Request, "", Remaining, AllowedReuse,
                      [this, IsHeadRequest, Done = std::move(NextCall.m_done)](
                          ChannelResult &&Result) {
                        finish(Done, IsHeadRequest, std::move(Result));
                      });
}

void HttpClient::finish(const Callback &Done, bool IsHeadRequest,
                        ChannelResult &&Result) {
  --m_inFlight;
  if (!m_queue.empty()) {
    QueuedCall NextCall = std::move(m_queue.front());
    m_queue.pop_front();
    start(std::move(NextCall));
  }
  HttpError Error = translate(Result.m_error);
  if (*Result.m_problem != '\0')
    logEvent(Severity::Warning, "response_unusable",
             {{"server", m_server}, {"problem", Result.m_problem}});
  if (Error == HttpError::None && !isComplete(Result.m_response, IsHeadRequest))
    Error = HttpError::Interrupted;
  if (Error != HttpError::None)
    Result.m_response = HttpResponse();
  // Last, as the callback may destroy the client.
  Done(Error, std::move(Result.m_response));
}

} // namespace burdockpulley
