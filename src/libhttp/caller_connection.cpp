#include "caller_connection.h"

#include "burdockpulley/clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <algorithm>

namespace burdockpulley::detail {

namespace {

/// Input that may wait behind the request being worked on.
constexpr std::size_t MaxPipelinedBytes = 256 << 10;
/// How long a closed connection still reads, so that the peer sees the answer
/// rather than a reset.
constexpr Duration LingerTime{1'000'000};
/// Share of the idle timeout that callers are told to stay within.
constexpr double AdvertisedIdleShare = 0.9;

MessageParser::Limits parserLimits(const CallerLimits &Limits) {
  return {Limits.m_headerBytes, Limits.m_bodyBytes};
}

int statusOf(MessageParser::Fault Fault) {
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

CallerConnection::CallerConnection(CallerListener &Owner, bufferevent *Stream,
                                   std::string Peer, Instant Now)
    : m_owner(Owner), m_stream(Stream), m_peer(std::move(Peer)),
      m_parser(MessageParser::Kind::Request, parserLimits(Owner.m_limits)),
      m_since(Now), m_resume(event_new(
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
      [](bufferevent *, short What, void *Self) {
        if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          static_cast<CallerConnection *>(Self)->onEnd();
      },
      this);
  bufferevent_setwatermark(m_stream, EV_READ, 0, MaxPipelinedBytes);
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection() {
  if (m_exchange) {
    Exchange *Left = m_exchange;
    m_exchange = nullptr;
    Left->leave();
  }
  event_free(m_resume);
  bufferevent_free(m_stream);
}

bool CallerConnection::idle() const {
  return !busy() && !m_closing &&
         evbuffer_get_length(bufferevent_get_input(m_stream)) == 0 &&
         evbuffer_get_length(bufferevent_get_output(m_stream)) == 0;
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
    std::size_t Used = m_parser.feed(Bytes, Size);
    evbuffer_drain(Input, Used);
    if (!HadBegun || m_parser.headersComplete())
      m_since = bootClockNow();
    if (m_parser.state() == MessageParser::State::Failed)
      return refuse(statusOf(m_parser.fault()));
    if (!HadHeaders && m_parser.headersComplete() &&
        m_parser.expectsContinue()) {
      constexpr char Continue[] = "HTTP/1.1 100 Continue\r\n\r\n";
      bufferevent_write(m_stream, Continue, sizeof(Continue) - 1);
    }
    if (m_parser.state() == MessageParser::State::Complete)
      return handOn();
  }
}

void CallerConnection::handOn() {
  HttpRequest Request;
  Request.m_method = std::move(m_parser.m_method);
  Request.m_target = std::move(m_parser.m_target);
  Request.m_headers = std::move(m_parser.m_headers);
  Request.m_body = std::move(m_parser.m_body);
  Request.m_caller = m_peer;
  m_keepAlive = m_parser.keepAlive();
  m_parser.setLimits(parserLimits(m_owner.m_limits));
  m_parser.reset();
  auto Made = std::make_shared<Exchange>(this, std::move(Request), m_since);
  m_exchange = Made.get();
  m_owner.m_handle(std::move(Made));
}

void CallerConnection::answer(const HttpResponse &Response) {
  m_exchange = nullptr;
  bool Close = !m_keepAlive || m_owner.m_closeAfterAnswers;
  std::string Head;
  Head.reserve(512);
  Head += "HTTP/1.1 " + std::to_string(Response.m_status) + " ";
  Head += http_status_str(static_cast<http_status>(Response.m_status));
  Head += "\r\n";
  for (const HttpHeader &Header : Response.m_headers) {
    Head += Header.m_name;
    Head += ": ";
    Head += Header.m_value;
    Head += "\r\n";
  }
  if (Close) {
    Head += "Connection: close\r\n";
  } else {
    auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
        m_owner.m_limits.m_idleTimeout * AdvertisedIdleShare);
    Head += "Keep-Alive: timeout=" + std::to_string(Seconds.count()) + "\r\n";
  }
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  if (Response.m_status != NoContent && Response.m_status != NotModified)
    Head +=
        "Content-Length: " + std::to_string(Response.m_body.size()) + "\r\n";
  Head += "\r\n";
  Head += Response.m_body;
  bufferevent_write(m_stream, Head.data(), Head.size());
  m_since = bootClockNow();
  if (Close)
    m_closing = true;
  else if (evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)
    event_active(m_resume, EV_READ, 0);
}

void CallerConnection::refuse(int Status) {
  m_keepAlive = false;
  answer(HttpResponse{Status, {}, ""});
}

void CallerConnection::abandon() {
  m_exchange = nullptr;
  m_owner.remove(this);
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

void CallerConnection::onEnd() { m_owner.remove(this); }

void CallerConnection::sweep(Instant Now) {
  Duration Spent = Now - m_since;
  const CallerLimits &Limits = m_owner.m_limits;
  if (m_lingering) {
    if (Spent > LingerTime)
      m_owner.remove(this);
    return;
  }
  if (m_exchange)
    return;
  bool Writing = evbuffer_get_length(bufferevent_get_output(m_stream)) > 0;
  bool InHeaders = m_parser.begun() && !m_parser.headersComplete();
  if (InHeaders && Spent > Limits.m_headerTimeout) {
    constexpr int RequestTimeout = 408;
    return refuse(RequestTimeout);
  }
  if (Spent > Limits.m_idleTimeout && (!m_closing || Writing))
    m_owner.remove(this);
}

} // namespace burdockpulley::detail
