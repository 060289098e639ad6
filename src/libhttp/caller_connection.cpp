#include "caller_connection.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "framing.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace burdockpulley::detail {

namespace {

/// Limit for input that is buffered while a request is being handled.
constexpr std::size_t MaxPipelinedBytes = 256 << 10;
/// Time for which input is still read after the last response. Closing a socket
/// with unread input would reset the connection, and the caller might lose the
/// response.
constexpr Duration LingerTime{1'000'000};
/// Time from the acceptance of a connection within which its first request is
/// expected. Most callers send it at once.
constexpr Duration FirstRequestTime{1'000'000};
/// Share of the idle timeout that the Keep-Alive header announces, so that
/// callers stop using a connection before it is closed here.
constexpr double AnnouncedIdleShare = 0.9;

MessageParser::Limits parserLimits(const CallerLimits &Limits) {
  return {Limits.m_headerBytes, Limits.m_bodyBytes};
}

int statusForFault(MessageParser::Fault Fault) {
  constexpr int BadRequest = 400;
  constexpr int BodyTooLarge = 413;
  constexpr int HeaderTooLarge = 431;
  switch (Fault) {
  case MessageParser::Fault::HeaderTooLarge:
    return HeaderTooLarge;
  case MessageParser::Fault::BodyTooLarge:
    return BodyTooLarge;
  case MessageParser::Fault::Malformed:
  case MessageParser::Fault::None:
    break;
  }
  return BadRequest;
}

} // namespace

CallerConnection::CallerConnection(CallerListener &Listener,
                                   bufferevent *Stream,
                                   std::string CallerAddress, Instant Now)
    : m_listener(Listener), m_stream(Stream),
      m_callerAddress(std::move(CallerAddress)),
      m_parser(MessageParser::Kind::Request, parserLimits(Listener.m_limits)),
      m_since(Now), m_accepted(Now),
      m_resumeEvent(event_new(
          bufferevent_get_base(Stream), -1, 0,
          [](evutil_socket_t, short, void *Self) {
            static_cast<CallerConnection *>(Self)->onReadable();
          },
          this)) {
  bufferevent_setcb(
      m_stream,
      [](bufferevent *, void *Self) {
        static_cast<CallerConnection *>(Self)->onReadable();
      },
      [](bufferevent *, void *Self) {
        static_cast<CallerConnection *>(Self)->onFlushed();
      },
      [](bufferevent *, short Events, void *Self) {
        if (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          static_cast<CallerConnection *>(Self)->onDisconnected();
      },
      this);
  bufferevent_setwatermark(m_stream, EV_READ, 0, MaxPipelinedBytes);
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection() {
  if (m_exchange) {
    Exchange *PendingExchange = m_exchange;
    m_exchange = nullptr;
    PendingExchange->onConnectionClosed();
  }
  event_free(m_resumeEvent);
  bufferevent_free(m_stream);
}

bool CallerConnection::idle() const {
  return !busy() && !m_closing &&
         evbuffer_get_length(bufferevent_get_input(m_stream)) == 0 &&
         evbuffer_get_length(bufferevent_get_output(m_stream)) == 0;
}

bool CallerConnection::hasUnreadInput() const {
  char Byte = 0;
  return recv(bufferevent_getfd(m_stream), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >
         0;
}

bool CallerConnection::active(Instant Now) const {
  if (evbuffer_get_length(bufferevent_get_output(m_stream)) > 0)
    return true;
  if (m_closing)
    return false;
  bool New = !m_hadRequest && Now - m_accepted < FirstRequestTime;
  return New || !idle() || hasUnreadInput();
}

Duration CallerConnection::receivedAgo() const {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (getsockopt(bufferevent_getfd(m_stream), IPPROTO_TCP, TCP_INFO, &Info,
                 &Size) != 0)
    return {};
  return std::chrono::milliseconds(Info.tcpi_last_data_recv);
}

void CallerConnection::onReadable() {
  evbuffer *Input = bufferevent_get_input(m_stream);
  if (m_closing) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  while (!m_exchange && evbuffer_get_length(Input) > 0) {
    std::size_t Size = evbuffer_get_contiguous_space(Input);
    auto *Bytes = reinterpret_cast<char *>(evbuffer_pullup(Input, Size));
    bool HadBegun = m_parser.begun();
    bool HadHeaders = m_parser.headersComplete();
    std::size_t ConsumedBytes = m_parser.feed(Bytes, Size);
    evbuffer_drain(Input, ConsumedBytes);
    if (!HadBegun || m_parser.headersComplete())
      m_since = bootClockNow();
    if (m_parser.state() == MessageParser::State::Failed)
      return refuse(statusForFault(m_parser.fault()));
    if (!HadHeaders && m_parser.headersComplete() &&
        m_parser.expectsContinue()) {
      constexpr char InterimResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";
      bufferevent_write(m_stream, InterimResponse, sizeof(InterimResponse) - 1);
    }
    if (m_parser.state() == MessageParser::State::Complete)
      return dispatchRequest();
  }
}

void CallerConnection::dispatchRequest() {
  HttpRequest Request;
  Request.m_method = std::move(m_parser.m_method);
  Request.m_target = std::move(m_parser.m_target);
  Request.m_headers = std::move(m_parser.m_headers);
  Request.m_body = std::move(m_parser.m_body);
  Request.m_caller = m_callerAddress;
  m_keepAlive = m_parser.keepAlive();
  m_hadRequest = true;
  m_parser.setLimits(parserLimits(m_listener.m_limits));
  m_parser.reset();
  auto NewExchange =
      std::make_shared<Exchange>(this, std::move(Request), m_since);
  m_exchange = NewExchange.get();
  try {
    m_listener.m_handler(std::move(NewExchange));
  } catch (const std::exception &Error) {
    // One request must not end the process. Without a response, its connection
    // is closed with the exchange.
    logEvent(Severity::Error, "request_handler_failed",
             {{"problem", Error.what()}});
  }
}

void CallerConnection::sendResponse(const HttpResponse &Response) {
  bool ToHead = m_exchange && m_exchange->request().m_method == "HEAD";
  m_exchange = nullptr;
  bool Close = !m_keepAlive || m_listener.m_closeAfterResponses;
  std::string Message;
  Message.reserve(512);
  Message += "HTTP/1.1 " + std::to_string(Response.m_status) + " ";
  Message += http_status_str(static_cast<http_status>(Response.m_status));
  Message += "\r\n";
  for (const HttpHeader &Header : Response.m_headers) {
    Message += Header.m_name;
    Message += ": ";
    Message += Header.m_value;
    Message += "\r\n";
  }
  if (Close) {
    Message += "Connection: close\r\n";
  } else {
    auto IdleTime = std::chrono::duration_cast<std::chrono::seconds>(
        m_listener.m_limits.m_idleTimeout * AnnouncedIdleShare);
    Message +=
        "Keep-Alive: timeout=" + std::to_string(IdleTime.count()) + "\r\n";
  }
  bool HasBody = !endsWithHead(Response.m_status, ToHead);
  if (HasBody)
    Message +=
        "Content-Length: " + std::to_string(Response.m_body.size()) + "\r\n";
  Message += "\r\n";
  if (HasBody)
    Message += Response.m_body;
  bufferevent_write(m_stream, Message.data(), Message.size());
  m_since = bootClockNow();
  if (Close)
    m_closing = true;
  else if (evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)
    event_active(m_resumeEvent, EV_READ, 0);
}

void CallerConnection::refuse(int Status) {
  m_keepAlive = false;
  sendResponse(HttpResponse{Status, {}, ""});
}

void CallerConnection::abandon() {
  m_exchange = nullptr;
  m_listener.remove(this);
}

void CallerConnection::onFlushed() {
  if (m_closing && !m_lingering)
    startLinger();
}

void CallerConnection::startLinger() {
  m_lingering = true;
  m_since = bootClockNow();
  shutdown(bufferevent_getfd(m_stream), SHUT_WR);
}

void CallerConnection::onDisconnected() { m_listener.remove(this); }

void CallerConnection::sweep(Instant Now) {
  Duration Elapsed = Now - m_since;
  const CallerLimits &Limits = m_listener.m_limits;
  if (m_lingering) {
    if (Elapsed > LingerTime)
      m_listener.remove(this);
    return;
  }
  if (m_exchange)
    return;
  bool Writing = evbuffer_get_length(bufferevent_get_output(m_stream)) > 0;
  bool ReadingHeaders = m_parser.begun() && !m_parser.headersComplete();
  if (ReadingHeaders && Elapsed > Limits.m_headerTimeout) {
    constexpr int RequestTimeout = 408;
    return refuse(RequestTimeout);
  }
  if (Elapsed > Limits.m_idleTimeout && (!m_closing || Writing))
    m_listener.remove(this);
}

} // namespace burdockpulley::detail
