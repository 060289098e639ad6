#include "channel.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/hashing.h"
#include "owned_block.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace burdockpulley::detail {

namespace {

constexpr std::size_t MaxResponseHeaderBytes = 64 << 10;
/// Late responses to earlier requests that a call skips.
constexpr std::uint32_t MaxSkippedResponses = 8;
/// A connection is closed once it has refused as many calls as it remembers.
/// The ids take 2 KiB.
constexpr std::size_t MaxRefusedIds = 256;
constexpr int MinErrorStatus = 400;
/// Shared bodies up to this size are appended to the header section. Copying
/// them costs less than a block of their own in the output buffer.
constexpr std::size_t MaxAppendedBodyBytes = 16 << 10;
/// Idle connections are closed this long before the server would close them, so
/// that no request is sent just as the server closes its end.
constexpr Duration IdleMargin{500'000};

/// Returns the idle time that a Keep-Alive header announces, or zero if it
/// announces none.
Duration announcedIdleTime(std::string_view KeepAlive) {
  constexpr std::string_view Parameter = "timeout=";
  std::size_t Position = KeepAlive.find(Parameter);
  if (Position == KeepAlive.npos)
    return {};
  long Seconds = 0;
  const char *Digits = KeepAlive.data() + Position + Parameter.size();
  std::from_chars(Digits, KeepAlive.data() + KeepAlive.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

const std::string &bodyOf(const HttpRequest &Request) {
  return Request.m_sharedBody ? *Request.m_sharedBody : Request.m_body;
}

/// Returns true if the body is sent from where it is kept.
bool sendsSharedBody(const HttpRequest &Request) {
  return Request.m_sharedBody &&
         Request.m_sharedBody->size() > MaxAppendedBodyBytes;
}

/// Returns the request without a body for which sendsSharedBody() holds.
std::string encode(const HttpRequest &Request) {
  const std::string &Body = bodyOf(Request);
  bool Appends = !sendsSharedBody(Request);
  std::string Bytes;
  Bytes.reserve(512 + (Appends ? Body.size() : 0));
  Bytes += Request.m_method + " " + Request.m_target + " HTTP/1.1\r\n";
  for (const HttpHeader &Header : Request.m_headers) {
    Bytes += Header.m_name;
    Bytes += ": ";
    Bytes += Header.m_value;
    Bytes += "\r\n";
  }
  bool NeedsLength = !Body.empty() || Request.m_method == "POST" ||
                     Request.m_method == "PUT" || Request.m_method == "PATCH";
  if (NeedsLength)
    Bytes += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Bytes += "\r\n";
  if (Appends)
    Bytes += Body;
  return Bytes;
}

} // namespace

Channel::Channel(ChannelPool &Pool, event_base *Base, std::uint64_t Number)
    : m_pool(Pool), m_base(Base), m_number(Number),
      m_timer(evtimer_new(
          Base,
          [](int, short, void *Self) {
            static_cast<Channel *>(Self)->onTimer();
          },
          this)),
      m_parser(MessageParser::Kind::Response,
               {MaxResponseHeaderBytes, Pool.m_settings.m_maxResponseBytes}),
      m_idleLimit(Pool.m_settings.m_idleTimeout) {}

Channel::~Channel() {
  event_free(m_timer);
  updateMemory(0);
  // The kernel must not go on sending a request whose call has ended.
  m_resetOnClose |= m_done != nullptr;
  closeStream();
}

void Channel::closeStream() {
  if (!m_stream)
    return;
  if (m_resetOnClose) {
    // With a linger time of zero, closing the socket resets the connection, and
    // bytes that are not yet delivered are discarded.
    linger Reset{1, 0};
    setsockopt(bufferevent_getfd(m_stream), SOL_SOCKET, SO_LINGER, &Reset,
               sizeof(Reset));
  }
  discardOutput(m_stream);
  bufferevent_free(m_stream);
  m_stream = nullptr;
}

void Channel::start(ChannelCallId Call, const HttpRequest &Request,
                    const std::string &EchoId, Duration Timeout,
                    ChannelPool::Callback Done, Instant Now) {
  m_call = Call;
  m_echoId = EchoId;
  m_done = std::move(Done);
  m_started = Now;
  m_timeout = Timeout;
  m_deadline = Now + Timeout;
  m_parser.reset();
  m_memoryExceeded = false;
  m_skippedResponses = 0;
  m_parser.expectNoBody(Request.m_method == "HEAD");
  if (!m_stream)
    connect();
  m_unsent = encode(Request);
  if (sendsSharedBody(Request))
    m_unsentBody = Request.m_sharedBody;
  m_unsentCharge =
      MemoryCharge(m_pool.m_settings.m_memoryBudget, MemoryKind::SendCopies);
  m_unsentCharge.resize(residentBytes(m_unsent));
  if (m_connected)
    sendRequest();
  Duration FirstTimeout =
      m_connected ? Timeout
                  : std::min(Timeout, m_pool.m_settings.m_connectTimeout);
  startTimer(m_stream ? FirstTimeout : Duration());
}

void Channel::connect() {
  const Endpoint &Server = m_pool.m_server;
  m_stream = bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      m_stream,
      [](bufferevent *, void *Self) {
        static_cast<Channel *>(Self)->onReadable();
      },
      nullptr,
      [](bufferevent *, short Events, void *Self) {
        auto *Connection = static_cast<Channel *>(Self);
        if (Events & BEV_EVENT_CONNECTED)
          Connection->onConnected();
        else
          Connection->onDisconnected(Events);
      },
      this);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Server.m_port);
  inet_pton(AF_INET, Server.m_address.c_str(), &Address.sin_addr);
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(m_stream,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) == 0)
    return;
  m_refused = errno == ECONNREFUSED;
  bufferevent_free(m_stream);
  m_stream = nullptr;
}

void Channel::sendRequest() {
  writeOwned(m_stream, std::exchange(m_unsent, {}), std::move(m_unsentCharge));
  writeShared(m_stream, std::exchange(m_unsentBody, nullptr));
}

void Channel::discardRequest() {
  std::string().swap(m_unsent);
  m_unsentBody = nullptr;
  m_unsentCharge = {};
}

void Channel::onConnected() {
  Duration MaxDelay = m_pool.m_settings.m_maxSendDelay;
  Instant Now = bootClockNow();
  if (m_done && MaxDelay > Duration() && Now - m_started > MaxDelay)
    return failCall(ChannelError::ConnectFailed);
  m_connected = true;
  int Descriptor = bufferevent_getfd(m_stream);
  int Enabled = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  auto Timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_pool.m_settings.m_unacknowledgedTimeout);
  unsigned Milliseconds = static_cast<unsigned>(Timeout.count());
  setsockopt(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds,
             sizeof(Milliseconds));
  if (!m_done)
    return;
  sendRequest();
  startTimer(m_deadline - Now);
}

void Channel::startTimer(Duration Timeout) {
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  std::int64_t Micros = std::max<std::int64_t>(Timeout.count(), 0);
  timeval Interval{Micros / MicrosPerSecond, Micros % MicrosPerSecond};
  evtimer_add(m_timer, &Interval);
}

void Channel::extendDeadline(Instant Now) {
  Instant Last = m_started + m_pool.m_settings.m_maxTransferTime;
  m_deadline = std::max(m_deadline, std::min(Now + m_timeout, Last));
}

void Channel::onTimer() {
  if (!m_done)
    return;
  if (m_memoryExceeded)
    return failCall(ChannelError::BadAnswer, "memory-limit");
  bool Connecting = !m_connected;
  Duration Left = m_deadline - bootClockNow();
  if (!Connecting && Left > Duration())
    return startTimer(Left);
  failCall(Connecting ? ChannelError::ConnectFailed : ChannelError::TimedOut);
}

void Channel::onMemoryLimit() {
  // Another channel may be in its callback, so the call ends later.
  m_memoryExceeded = true;
  startTimer({});
}

void Channel::updateMemory(std::size_t Bytes) {
  if (m_pool.m_settings.m_responseMemory && !m_memoryExceeded)
    m_pool.m_settings.m_responseMemory->update(*this, Bytes);
}

void Channel::onReadable() {
  evbuffer *Input = bufferevent_get_input(m_stream);
  if (!m_done) {
    // These bytes were received outside a call.
    m_closed = true;
    m_pool.release(this, false);
    return;
  }
  extendDeadline(bootClockNow());
  while (evbuffer_get_length(Input) > 0) {
    if (m_memoryExceeded)
      return failCall(ChannelError::BadAnswer, "memory-limit");
    std::size_t Size = evbuffer_get_contiguous_space(Input);
    auto *Bytes = reinterpret_cast<char *>(evbuffer_pullup(Input, Size));
    std::size_t ConsumedBytes = m_parser.feed(Bytes, Size);
    evbuffer_drain(Input, ConsumedBytes);
    if (m_parser.state() == MessageParser::State::Failed)
      return failCall(ChannelError::BadAnswer, m_parser.problem());
    updateMemory(m_parser.bodyMemory() + m_parser.headerMemory());
    if (m_parser.state() == MessageParser::State::Complete && !onResponse())
      return;
  }
}

bool Channel::onResponse() {
  HttpResponse Response;
  Response.m_status = m_parser.m_status;
  Response.m_headers = std::move(m_parser.m_headers);
  Response.m_body = std::move(m_parser.m_body);
  if (!m_echoId.empty()) {
    std::string_view Echo = Response.header(m_pool.m_settings.m_echoHeader);
    bool Missing = Echo.empty() && !m_pool.m_settings.m_echoRequired;
    bool Ambiguous = std::any_of(
        Response.m_headers.begin(), Response.m_headers.end(),
        [&](const HttpHeader &Header) {
          return Header.m_value != Echo &&
                 strcasecmp(Header.m_name.c_str(),
                            m_pool.m_settings.m_echoHeader.c_str()) == 0;
        });
    if ((Echo != m_echoId && !Missing) || Ambiguous) {
      // A late or repeated response to an earlier request. The response to this
      // call can only follow it if the connection stays open.
      m_notReusable = true;
      bool MayFollow = m_parser.keepAlive() && !Echo.empty() && !Ambiguous &&
                       ++m_skippedResponses <= MaxSkippedResponses;
      m_parser.reset();
      if (!MayFollow)
        failCall(ChannelError::BadAnswer, "other-request");
      return MayFollow;
    }
  }
  evbuffer *Input = bufferevent_get_input(m_stream);
  evbuffer *Output = bufferevent_get_output(m_stream);
  rememberRefusal(Response.m_status);
  bool Clean = evbuffer_get_length(Input) == 0 &&
               evbuffer_get_length(Output) == 0 && !m_notReusable;
  bool Reusable = Clean && m_parser.keepAlive();
  Duration Announced = announcedIdleTime(Response.header("Keep-Alive"));
  if (Announced > Duration())
    m_idleLimit = std::min(m_pool.m_settings.m_idleTimeout,
                           std::max(Duration(), Announced - IdleMargin));
  ChannelResult Result;
  Result.m_connection = m_number;
  Result.m_response = std::move(Response);
  Result.m_sent = true;
  Instant Now = bootClockNow();
  Result.m_spent = Now - m_started;
  evtimer_del(m_timer);
  updateMemory(0);
  m_idleSince = Now;
  m_idleUntil = Now + m_idleLimit;
  auto Done = std::exchange(m_done, nullptr);
  m_pool.release(this, Reusable);
  Done(std::move(Result));
  return false;
}

bool Channel::hasUnexpectedInput() const {
  char Byte = 0;
  return recv(bufferevent_getfd(m_stream), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >=
         0;
}

bool Channel::hasRefused(const std::string &EchoId) const {
  return !m_refusedIds.empty() &&
         std::find(m_refusedIds.begin(), m_refusedIds.end(),
                   stableHash(EchoId)) != m_refusedIds.end();
}

void Channel::rememberRefusal(int Status) {
  if (m_echoId.empty() || Status < MinErrorStatus)
    return;
  m_refusedIds.push_back(stableHash(m_echoId));
  m_notReusable |= m_refusedIds.size() >= MaxRefusedIds;
}

void Channel::onDisconnected(short Events) {
  if (!m_done) {
    m_closed = true;
    m_pool.release(this, false);
    return;
  }
  if (!m_connected) {
    m_refused = errno == ECONNREFUSED;
    return failCall(ChannelError::ConnectFailed);
  }
  // The server may have responded before it reset the connection. Reading goes
  // on, and reports the end when what has arrived is read.
  if (Events & BEV_EVENT_WRITING)
    return;
  if (Events & BEV_EVENT_EOF) {
    m_parser.finish();
    if (m_parser.state() == MessageParser::State::Complete) {
      // A server that ends while it receives the request has sent a part of its
      // response at most, but its kernel ends the connection in order.
      if (!requestAcknowledged())
        return failCall(ChannelError::Interrupted, "ended-during-request");
      m_notReusable = true;
      if (!onResponse())
        return;
    }
  }
  failCall(ChannelError::Interrupted);
}

bool Channel::requestAcknowledged() const {
  if (evbuffer_get_length(bufferevent_get_output(m_stream)) > 0)
    return false;
  int Descriptor = bufferevent_getfd(m_stream);
  int UnacknowledgedBytes = 0;
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  return ioctl(Descriptor, SIOCOUTQ, &UnacknowledgedBytes) == 0 &&
         UnacknowledgedBytes == 0 &&
         getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) == 0 &&
         Info.tcpi_state != TCP_CLOSE;
}

void Channel::close() {
  m_resetOnClose |= m_done != nullptr;
  m_done = nullptr;
  evtimer_del(m_timer);
  updateMemory(0);
  discardRequest();
  m_closed = true;
  closeStream();
}

void Channel::failCall(ChannelError Error, const char *Problem) {
  ChannelResult Result;
  Result.m_connection = m_number;
  Result.m_error = Error;
  Result.m_problem = Problem;
  Result.m_sent = m_connected;
  Result.m_refused = m_refused;
  Result.m_partialBytes = m_parser.m_body.size();
  Result.m_spent = bootClockNow() - m_started;
  evtimer_del(m_timer);
  updateMemory(0);
  discardRequest();
  m_parser.discard();
  m_parser.reset();
  m_closed = true;
  m_resetOnClose = true;
  // The stream is closed before the callback runs: the connection may have been
  // established just now, and the request would then still be sent.
  closeStream();
  auto Done = std::exchange(m_done, nullptr);
  m_pool.release(this, false);
  Done(std::move(Result));
}

} // namespace burdockpulley::detail
