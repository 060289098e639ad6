#include "burdockpulley/caller_listener.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "caller_connection.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <tuple>

namespace burdockpulley {

namespace {

constexpr int AcceptBacklog = 1024;
/// Interval of the log lines about limits that callers have met.
constexpr Duration LimitLogInterval{5'000'000};
/// Responses that callers have begun to read so recently are not given up.
constexpr Duration UnreadGrace{1'000'000};

sockaddr_in toSocketAddress(const Endpoint &Endpoint) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Endpoint.m_port);
  inet_pton(AF_INET, Endpoint.m_address.c_str(), &Address.sin_addr);
  return Address;
}

std::string toText(const sockaddr *Address) {
  char Text[INET_ADDRSTRLEN] = "";
  if (Address->sa_family == AF_INET)
    inet_ntop(AF_INET,
              &reinterpret_cast<const sockaddr_in *>(Address)->sin_addr, Text,
              sizeof(Text));
  return Text;
}

} // namespace

const char *toString(CallerLimit Reason) {
  constexpr std::array<const char *, CallerLimitCount> Names = {
      "malformed",      "header-too-large", "body-too-large", "header-timeout",
      "idle-timeout",   "request-timeout",  "slow-body",      "slow-reader",
      "memory-refused", "memory-body",      "memory-unread",  "crowded"};
  return Names[static_cast<std::size_t>(Reason)];
}

Exchange::Exchange(detail::CallerConnection *Connection, HttpRequest &&Request,
                   Instant Arrived, MemoryCharge &&Charge)
    : m_connection(Connection), m_request(std::move(Request)),
      m_arrived(Arrived), m_charge(std::move(Charge)) {}

Exchange::~Exchange() {
  if (m_connection)
    m_connection->abandon();
}

void Exchange::answer(HttpResponse Response) {
  detail::CallerConnection *Connection = m_connection;
  m_connection = nullptr;
  m_onCallerGone = nullptr;
  if (Connection)
    Connection->sendResponse(std::move(Response));
}

Duration Exchange::receivedAgo() const {
  return m_connection ? m_connection->receivedAgo() : Duration();
}

void Exchange::onConnectionClosed() {
  m_connection = nullptr;
  // The callback may drop the last reference to this exchange.
  auto OnCallerGone = std::move(m_onCallerGone);
  if (OnCallerGone)
    OnCallerGone();
}

CallerListener::CallerListener(event_base *Base, std::size_t MaxConnections,
                               Handler RequestHandler)
    : m_base(Base), m_maxConnections(MaxConnections),
      m_handler(std::move(RequestHandler)) {}

CallerListener::~CallerListener() {
  if (m_listener)
    evconnlistener_free(m_listener);
  m_listener = nullptr;
  while (!m_connections.empty())
    remove(*m_connections.begin());
}

std::uint16_t CallerListener::listen(const Endpoint &BindAddress) {
  sockaddr_in Address = toSocketAddress(BindAddress);
  m_listener = evconnlistener_new_bind(
      m_base,
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *Caller, int,
         void *Self) {
        static_cast<CallerListener *>(Self)->accept(Descriptor, toText(Caller));
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      AcceptBacklog, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (!m_listener)
    return 0;
  socklen_t Size = sizeof(Address);
  getsockname(evconnlistener_get_fd(m_listener),
              reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

void CallerListener::stopListening(Instant Now) {
  if (!m_listener)
    return;
  // Closing the socket resets connections that are established but not yet
  // accepted, although callers may have sent their requests.
  sockaddr_in Caller{};
  socklen_t Size = sizeof(Caller);
  for (;;) {
    int Descriptor = accept4(evconnlistener_get_fd(m_listener),
                             reinterpret_cast<sockaddr *>(&Caller), &Size,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Descriptor < 0)
      break;
    accept(Descriptor, toText(reinterpret_cast<sockaddr *>(&Caller)));
  }
  evconnlistener_free(m_listener);
  m_listener = nullptr;
  closeIdle(Now);
}

std::size_t CallerListener::closeIdle(Instant Now) {
  std::size_t Active = 0;
  std::vector<detail::CallerConnection *> Connections(m_connections.begin(),
                                                      m_connections.end());
  for (detail::CallerConnection *Connection : Connections) {
    if (Connection->active(Now))
      ++Active;
    else if (Connection->idle())
      remove(Connection);
  }
  return Active;
}

void CallerListener::setLimits(const CallerLimits &Limits) {
  m_limits = Limits;
}

void CallerListener::accept(int Descriptor, const std::string &CallerAddress) {
  int Enabled = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  bufferevent *Stream =
      bufferevent_socket_new(m_base, Descriptor, BEV_OPT_CLOSE_ON_FREE);
  if (!Stream) {
    evutil_closesocket(Descriptor);
    return;
  }
  Instant Now = bootClockNow();
  m_connections.insert(
      new detail::CallerConnection(*this, Stream, CallerAddress, Now));
  admitWaiting(Now);
  if (m_listener && m_connections.size() >= m_maxConnections)
    evconnlistener_disable(m_listener);
}

void CallerListener::admitWaiting(Instant Now) {
  if (!m_listener || m_connections.size() < m_maxConnections)
    return;
  std::vector<detail::CallerConnection *> Replaceable;
  for (detail::CallerConnection *Connection : m_connections)
    if (Connection->replaceable(Now))
      Replaceable.push_back(Connection);
  std::sort(Replaceable.begin(), Replaceable.end(),
            [](const auto *Left, const auto *Right) {
              return Left->since() < Right->since();
            });
  // A quarter is made free at once, so that this is rarely done.
  Replaceable.resize(std::min(Replaceable.size(), m_maxConnections / 4 + 1));
  for (detail::CallerConnection *Connection : Replaceable) {
    count(CallerLimit::Crowded, Connection->callerAddress());
    remove(Connection);
  }
}

std::size_t CallerListener::maxHeaderFields() const {
  // A field has at least five bytes: a name, a colon and a line end.
  bool Ample = !m_budget || m_budget->level() == MemoryBudget::Level::Ample;
  return Ample ? m_limits.m_headerBytes : m_limits.m_headerFields;
}

void CallerListener::count(CallerLimit Reason,
                           const std::string &CallerAddress) {
  auto Index = static_cast<std::size_t>(Reason);
  ++m_limitCounts[Index];
  m_limitedCallers[Index] = CallerAddress;
}

void CallerListener::logLimits(Instant Now) {
  if (Now - m_limitsLogged < LimitLogInterval ||
      m_limitCounts == m_loggedCounts)
    return;
  m_limitsLogged = Now;
  const auto *Largest = m_budget ? m_budget->largest() : nullptr;
  for (std::size_t Index = 0; Index < CallerLimitCount; ++Index)
    if (m_limitCounts[Index] != m_loggedCounts[Index])
      logEvent(Severity::Warning, "callers_limited",
               {{"reason", toString(static_cast<CallerLimit>(Index))},
                {"count", m_limitCounts[Index] - m_loggedCounts[Index]},
                {"latest_caller", m_limitedCallers[Index]},
                {"connections", m_connections.size()},
                {"charged_bytes", m_budget ? m_budget->total() : 0},
                {"largest_caller", Largest ? Largest->address() : ""},
                {"largest_bytes", Largest ? Largest->bytes() : 0}});
  m_loggedCounts = m_limitCounts;
}

void CallerListener::giveUpBodies(bool Stalled, Instant Now) {
  std::size_t Excess = m_budget->bodiesToGiveUp(Stalled, Now);
  if (Excess == 0)
    return;
  struct Candidate {
    detail::CallerConnection *m_connection;
    bool m_withinShare;
    std::size_t m_progress;
    std::size_t m_bytes;
  };
  std::vector<Candidate> Candidates;
  for (detail::CallerConnection *Connection : m_connections)
    if (Connection->receivingBody() &&
        (!Stalled || Connection->bodyStalled(Now)))
      Candidates.push_back(
          {Connection, !m_budget->overShare(Connection->account()),
           Connection->recentBytes(Now), Connection->chargedBytes()});
  std::sort(
      Candidates.begin(), Candidates.end(),
      [](const Candidate &Left, const Candidate &Right) {
        return std::tuple(Left.m_withinShare, Left.m_progress, Right.m_bytes) <
               std::tuple(Right.m_withinShare, Right.m_progress, Left.m_bytes);
      });
  std::size_t Released = 0;
  for (const Candidate &Each : Candidates) {
    if (Released >= Excess)
      break;
    Released += Each.m_bytes;
    Each.m_connection->giveUpBody();
  }
}

void CallerListener::giveUpUnread(Instant Now) {
  std::size_t Excess = m_budget->unreadToGiveUp();
  if (Excess == 0)
    return;
  std::vector<std::pair<double, detail::CallerConnection *>> Candidates;
  for (detail::CallerConnection *Connection : m_connections)
    if (Connection->unreadBytes() > 0 &&
        Connection->writingFor(Now) > UnreadGrace)
      Candidates.emplace_back(Connection->readRate(Now), Connection);
  std::sort(Candidates.begin(), Candidates.end());
  std::size_t Released = 0;
  for (const auto &[Rate, Connection] : Candidates) {
    if (Released >= Excess)
      break;
    Released += Connection->unreadBytes();
    count(CallerLimit::MemoryUnread, Connection->callerAddress());
    remove(Connection);
  }
}

void CallerListener::remove(detail::CallerConnection *Connection) {
  if (m_connections.erase(Connection) == 0)
    return;
  delete Connection;
  ++m_closedConnections;
  if (m_listener && m_connections.size() < m_maxConnections)
    evconnlistener_enable(m_listener);
}

void CallerListener::sweep(Instant Now) {
  std::vector<detail::CallerConnection *> Connections(m_connections.begin(),
                                                      m_connections.end());
  for (detail::CallerConnection *Connection : Connections)
    Connection->sweep(Now);
  if (m_budget) {
    giveUpBodies(true, Now);
    giveUpBodies(false, Now);
    giveUpUnread(Now);
  }
  admitWaiting(Now);
  logLimits(Now);
}

std::size_t CallerListener::busy() const {
  std::size_t Count = 0;
  for (const detail::CallerConnection *Connection : m_connections)
    Count += Connection->busy() ? 1 : 0;
  return Count;
}

} // namespace burdockpulley
