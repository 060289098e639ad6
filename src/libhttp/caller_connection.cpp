#include "caller_connection.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "framing.h"
#include "owned_block.h"

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
constexpr std::size_t MaxPipelinedBytes = 16 << 10;
/// What an open connection takes besides its input and output.
constexpr std::size_t ConnectionBytes = 3 << 10;
/// Bodies of responses up to this size are appended to the header section.
constexpr std::size_t MaxAppendedBodyBytes = 16 << 10;
/// A body whose caller has sent nothing for this time is stalled.
constexpr Duration StallTime{1'000'000};
constexpr Duration RecentInterval{1'000'000};
/// A body is given up when there has been no room for the rest of it for this
/// time. Otherwise several large ones could wait for each other without end.
constexpr Duration MaxPause{5'000'000};
constexpr int RequestTimeout = 408;
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
  return {Limits.m_headerBytes, Limits.m_bodyBytes, Limits.m_headerBytes};
}

CallerLimit limitOf(MessageParser::Fault Fault) {
  switch (Fault) {
  case MessageParser::Fault::HeaderTooLarge:
    return CallerLimit::HeaderTooLarge;
  case MessageParser::Fault::BodyTooLarge:
    return CallerLimit::BodyTooLarge;
  case MessageParser::Fault::Malformed:
  case MessageParser::Fault::None:
    break;
  }
  return CallerLimit::Malformed;
}

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
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
      m_account(Listener.m_budget ? Listener.m_budget->account(m_callerAddress)
                                  : nullptr),
      m_charge(Listener.m_budget, MemoryKind::Connections, m_account),
      m_bodyCharge(Listener.m_budget, MemoryKind::Bodies, m_account),
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
  m_charge.resize(ConnectionBytes);
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
  discardOutput(m_stream);
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

std::size_t CallerConnection::unreadBytes() const {
  return evbuffer_get_length(bufferevent_get_output(m_stream));
}

double CallerConnection::readRate(Instant Now) const {
  std::size_t Unread = std::min(unreadBytes(), m_queuedBytes);
  return static_cast<double>(m_queuedBytes - Unread) /
         std::max(seconds(writingFor(Now)), 1e-3);
}

bool CallerConnection::readsTooSlowly(Instant Now) const {
  const CallerLimits &Limits = m_listener.m_limits;
  Duration Elapsed = writingFor(Now);
  if (unreadBytes() == 0 || m_queuedBytes == 0 || Elapsed <= Limits.m_rateGrace)
    return false;
  std::size_t Read = m_queuedBytes - std::min(unreadBytes(), m_queuedBytes);
  return static_cast<double>(Read) <
         seconds(Elapsed - Limits.m_rateGrace) *
             static_cast<double>(Limits.m_minBytesPerSecond);
}

bool CallerConnection::replaceable(Instant Now) const {
  bool Waits =
      !m_exchange && !receivingBody() && (m_lingering || unreadBytes() == 0);
  return Waits && Now - m_since >= m_listener.m_limits.m_crowdedAge;
}

bool CallerConnection::receivingBody() const {
  return !m_exchange && !m_closing && m_parser.headersComplete();
}

bool CallerConnection::bodyStalled(Instant Now) const {
  return Now - m_since >= StallTime && !hasUnreadInput();
}

bool CallerConnection::callerEnded() const {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  return getsockopt(bufferevent_getfd(m_stream), IPPROTO_TCP, TCP_INFO, &Info,
                    &Size) == 0 &&
         Info.tcpi_state != TCP_ESTABLISHED;
}

std::size_t CallerConnection::recentBytes(Instant Now) const {
  Duration Age = Now - m_secondBegan;
  if (Age >= 2 * RecentInterval)
    return 0;
  return Age >= RecentInterval ? m_bytesOfSecond
                               : m_bytesOfSecond + m_bytesOfLastSecond;
}

Duration CallerConnection::receivingFor(Instant Now) const {
  Duration Paused = m_pausedTime;
  if (m_pausedSince != Instant())
    Paused += Now - m_pausedSince;
  return Now - m_requestBegan - Paused;
}

void CallerConnection::pauseReading() {
  if (m_pausedSince != Instant())
    return;
  m_pausedSince = bootClockNow();
  bufferevent_disable(m_stream, EV_READ);
}

void CallerConnection::resumeReading(Instant Now) {
  if (m_pausedSince == Instant())
    return;
  m_pausedTime += Now - m_pausedSince;
  m_pausedSince = Instant();
  m_since = Now;
  bufferevent_enable(m_stream, EV_READ);
  event_active(m_resumeEvent, EV_READ, 0);
}

void CallerConnection::chargeInput(std::size_t Unparsed) {
  m_charge.resize(ConnectionBytes + m_parser.headerMemory() + Unparsed);
  m_bodyCharge.resize(m_parser.headersComplete() ? m_parser.bodyMemory() : 0);
}

bool CallerConnection::admitInput() {
  MemoryBudget *Budget = m_listener.m_budget;
  if (!Budget)
    return true;
  if (receivingBody() &&
      !Budget->mayRead(m_parser.m_body.size(), m_account.get())) {
    pauseReading();
    return false;
  }
  if (!m_parser.begun() && !Budget->mayServe()) {
    refuse(Unavailable, CallerLimit::MemoryRefused);
    return false;
  }
  return true;
}

bool CallerConnection::parse(const char *Bytes, std::size_t Size) {
  evbuffer *Input = bufferevent_get_input(m_stream);
  bool HadBegun = m_parser.begun();
  bool HadHeaders = m_parser.headersComplete();
  chargeInput(Size);
  m_parser.limitHeaderFields(m_listener.maxHeaderFields());
  std::size_t ConsumedBytes = m_parser.feed(Bytes, Size);
  evbuffer_drain(Input, ConsumedBytes);
  if (!HadBegun || m_parser.headersComplete())
    m_since = bootClockNow();
  if (!HadBegun) {
    m_requestBegan = m_since;
    m_pausedTime = {};
  }
  if (m_since - m_secondBegan >= RecentInterval) {
    m_bytesOfLastSecond =
        m_since - m_secondBegan < 2 * RecentInterval ? m_bytesOfSecond : 0;
    m_bytesOfSecond = 0;
    m_secondBegan = m_since;
  }
  m_bytesOfSecond += ConsumedBytes;
  chargeInput(0);
  if (m_parser.state() == MessageParser::State::Failed) {
    refuse(statusForFault(m_parser.fault()), limitOf(m_parser.fault()));
    return false;
  }
  if (m_parser.state() == MessageParser::State::Complete) {
    dispatchRequest();
    return false;
  }
  if (!HadHeaders && m_parser.headersComplete()) {
    if (m_listener.m_budget &&
        !m_listener.m_budget->mayBeginBody(m_account.get())) {
      refuse(Unavailable, CallerLimit::MemoryRefused);
      return false;
    }
    if (m_parser.expectsContinue()) {
      constexpr char InterimResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";
      bufferevent_write(m_stream, InterimResponse, sizeof(InterimResponse) - 1);
    }
  }
  return true;
}

void CallerConnection::onReadable() {
  evbuffer *Input = bufferevent_get_input(m_stream);
  if (m_closing) {
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  while (!m_exchange && evbuffer_get_length(Input) > 0) {
    // The next request is read once the response to the last one has been
    // taken, so that a caller that reads nothing gets one response at most.
    if (!m_parser.begun() && unreadBytes() > 0)
      break;
    if (!admitInput())
      return;
    std::size_t Size = evbuffer_get_contiguous_space(Input);
    auto *Bytes = reinterpret_cast<char *>(evbuffer_pullup(Input, Size));
    if (!parse(Bytes, Size))
      return;
  }
  if (std::size_t Pipelined = evbuffer_get_length(Input); Pipelined > 0)
    chargeInput(Pipelined);
}

void CallerConnection::dispatchRequest() {
  MemoryCharge Charge(m_listener.m_budget, MemoryKind::Requests, m_account);
  Charge.resize(m_parser.headerMemory() + m_bodyCharge.bytes() +
                sizeof(Exchange));
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
  chargeInput(0);
  auto NewExchange = std::make_shared<Exchange>(this, std::move(Request),
                                                m_since, std::move(Charge));
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

void CallerConnection::sendResponse(HttpResponse Response) {
  bool ToHead = m_exchange && m_exchange->request().m_method == "HEAD";
  m_exchange = nullptr;
  bool Close = !m_keepAlive || m_listener.m_closeAfterResponses;
  bool HasBody = !endsWithHead(Response.m_status, ToHead);
  bool Appends = HasBody && Response.m_body.size() <= MaxAppendedBodyBytes;
  std::string Message;
  Message.reserve(512 + (Appends ? Response.m_body.size() : 0));
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
  if (HasBody)
    Message +=
        "Content-Length: " + std::to_string(Response.m_body.size()) + "\r\n";
  Message += "\r\n";
  if (Appends)
    Message += Response.m_body;
  m_since = bootClockNow();
  if (unreadBytes() == 0) {
    m_writeBegan = m_since;
    m_queuedBytes = 0;
  }
  auto Write = [this](std::string &&Bytes) {
    m_queuedBytes += Bytes.size();
    writeOwned(m_stream, std::move(Bytes),
               MemoryCharge(m_listener.m_budget, MemoryKind::UnreadResponses,
                            m_account));
  };
  Write(std::move(Message));
  if (HasBody && !Appends)
    Write(std::move(Response.m_body));
  if (Close)
    m_closing = true;
}

void CallerConnection::refuse(int Status, CallerLimit Reason) {
  m_listener.count(Reason, m_callerAddress);
  m_keepAlive = false;
  m_parser.discard();
  chargeInput(0);
  sendResponse(HttpResponse{Status, {}, ""});
  // What the caller still sends is discarded until the connection is closed.
  resumeReading(m_since);
}

void CallerConnection::closeFor(CallerLimit Reason) {
  m_listener.count(Reason, m_callerAddress);
  m_listener.remove(this);
}

void CallerConnection::abandon() {
  m_exchange = nullptr;
  m_listener.remove(this);
}

void CallerConnection::onFlushed() {
  if (m_closing && !m_lingering)
    startLinger();
  else if (!m_exchange && evbuffer_get_length(bufferevent_get_input(m_stream)))
    event_active(m_resumeEvent, EV_READ, 0);
}

void CallerConnection::startLinger() {
  m_lingering = true;
  m_since = bootClockNow();
  shutdown(bufferevent_getfd(m_stream), SHUT_WR);
}

void CallerConnection::onDisconnected() { m_listener.remove(this); }

std::optional<CallerLimit>
CallerConnection::exceededByRequest(Instant Now) const {
  const CallerLimits &Limits = m_listener.m_limits;
  if (m_closing || !m_parser.begun())
    return std::nullopt;
  Duration Elapsed = receivingFor(Now);
  if (!m_parser.headersComplete())
    return Now - m_since > Limits.m_headerTimeout
               ? std::optional(CallerLimit::HeaderTimeout)
               : std::nullopt;
  if (Elapsed > Limits.m_requestTime)
    return CallerLimit::RequestTimeout;
  // A caller may pause for the idle timeout between parts of a body.
  Duration Grace = std::max(Limits.m_rateGrace, Limits.m_idleTimeout);
  if (Elapsed > Grace &&
      static_cast<double>(m_parser.m_body.size()) <
          seconds(Elapsed - Grace) *
              static_cast<double>(Limits.m_minBytesPerSecond))
    return CallerLimit::SlowBody;
  return std::nullopt;
}

void CallerConnection::sweep(Instant Now) {
  Duration Elapsed = Now - m_since;
  if (m_lingering) {
    if (Elapsed > LingerTime)
      m_listener.remove(this);
    return;
  }
  if (m_exchange)
    return;
  if (auto Limit = exceededByRequest(Now))
    return refuse(RequestTimeout, *Limit);
  if (readsTooSlowly(Now))
    return closeFor(CallerLimit::SlowReader);
  if (m_pausedSince != Instant()) {
    // While reading is paused, the end of the stream is not read.
    if (callerEnded())
      return giveUpBody();
    if (m_listener.m_budget->mayResume(
            m_parser.m_body.size(), m_parser.missingBytes(), m_account.get()))
      resumeReading(Now);
    else if (Now - m_pausedSince > MaxPause)
      giveUpBody();
    return;
  }
  bool Writing = unreadBytes() > 0;
  if (Elapsed > m_listener.m_limits.m_idleTimeout && (!m_closing || Writing))
    closeFor(CallerLimit::IdleTimeout);
}

} // namespace burdockpulley::detail
