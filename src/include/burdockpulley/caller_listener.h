#ifndef BURDOCKPULLEY_CALLER_LISTENER_H
#define BURDOCKPULLEY_CALLER_LISTENER_H

#include "burdockpulley/http.h"
#include "burdockpulley/memory_budget.h"
#include "burdockpulley/types.h"

#include <array>
#include <functional>
#include <memory>
#include <unordered_set>

struct event_base;
struct evconnlistener;

namespace burdockpulley {

namespace detail {
class CallerConnection;
} // namespace detail

/// Size and time limits for the requests and connections of callers.
struct CallerLimits {
  std::size_t m_headerBytes = 16 << 10;
  std::size_t m_bodyBytes = 64 << 20;
  /// Longest time from the first byte of a request to the end of its headers;
  /// slower requests get status 408.
  Duration m_headerTimeout = std::chrono::seconds(3);
  /// Longest time between requests, between parts of a request's body, and for
  /// writing a response.
  Duration m_idleTimeout = std::chrono::seconds(15);
  /// Header fields of a request while memory is scarce. Otherwise the size of
  /// the header section is the only limit.
  std::size_t m_headerFields = 128;
  /// Least rates, averaged over a whole transfer, at which a caller sends a
  /// body and reads responses. 300 uploads that share a link of 10 Mbit/s have
  /// 4 KB/s each.
  std::size_t m_minBytesPerSecond = 1024;
  /// Time at the begin of a transfer that the rates leave out; of a body, at
  /// least the idle timeout.
  Duration m_rateGrace = std::chrono::seconds(5);
  /// Time without a request after which a connection may be closed for a new
  /// one if there are too many.
  Duration m_crowdedAge = std::chrono::seconds(1);
  /// Longest time for receiving a request.
  Duration m_requestTime = std::chrono::seconds(180);
};

/// Why a request was refused before it was passed on, or a connection closed.
enum class CallerLimit {
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  HeaderTimeout,
  IdleTimeout,
  RequestTimeout,
  SlowBody,
  SlowReader,
  MemoryRefused, ///< A new request was refused for lack of memory.
  MemoryBody,    ///< A body in progress was given up for lack of memory.
  MemoryUnread,  ///< A response that was read slowest was given up.
  Crowded,       ///< Closed in favour of a new connection.
};

constexpr std::size_t CallerLimitCount = 12;

/// Returns the name of a reason for logs and metrics. Thread safety: safe.
const char *toString(CallerLimit Reason);

/// One request of a caller, and the means to respond to it.
///
/// An exchange that is destroyed without a response closes its connection.
/// Thread safety: none; use it on the event loop's thread only.
class Exchange {
public:
  /// \p Charge: for the request; held until the object goes.
  Exchange(detail::CallerConnection *Connection, HttpRequest &&Request,
           Instant Arrived, MemoryCharge &&Charge = {});
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  const HttpRequest &request() const { return m_request; }
  /// Returns when the request had been read entirely.
  Instant arrived() const { return m_arrived; }
  /// Returns the time since the kernel received the last bytes of the
  /// connection, however late they were read. Zero if it is not known.
  Duration receivedAgo() const;

  /// Sends the response. Does nothing if the caller has disconnected.
  /// Precondition: not called before.
  void answer(HttpResponse Response);

  /// Sets the function that is called once if the caller closes its connection
  /// before the response is sent.
  void onCallerGone(std::function<void()> OnCallerGone) {
    m_onCallerGone = std::move(OnCallerGone);
  }

private:
  friend class detail::CallerConnection;
  void onConnectionClosed();

  detail::CallerConnection *m_connection;
  HttpRequest m_request;
  Instant m_arrived;
  MemoryCharge m_charge;
  std::function<void()> m_onCallerGone;
};

/// Accepts callers' connections and reads one request at a time from each.
///
/// The handler gets a request after its body has been received entirely.
/// Requests over the size limits are refused.
/// Thread safety: none; use it on the event loop's thread only.
class CallerListener {
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  /// While \p MaxConnections connections are open, accepting pauses, and those
  /// that have had no request for the longest time are closed; see
  /// CallerLimits::m_crowdedAge.
  /// Precondition: \p Base outlives the listener.
  CallerListener(event_base *Base, std::size_t MaxConnections,
                 Handler RequestHandler);
  ~CallerListener();
  CallerListener(const CallerListener &) = delete;
  CallerListener &operator=(const CallerListener &) = delete;

  /// Starts to listen; port 0 selects a free port. Returns the bound port, or
  /// 0 if the address cannot be bound.
  std::uint16_t listen(const Endpoint &BindAddress);

  /// Charges the memory of the connections and requests to a budget, and
  /// refuses or gives up what it does not allow. Without one, only the limits
  /// apply. Precondition: \p Budget outlives the listener; called before
  /// listen().
  void setMemoryBudget(MemoryBudget &Budget) { m_budget = &Budget; }

  /// How often each limit has ended a request or a connection so far.
  const std::array<std::uint64_t, CallerLimitCount> &limitCounts() const {
    return m_limitCounts;
  }

  /// Sets the limits. The time limits apply at once; the size limits apply to
  /// new connections, and to open connections after their next request.
  void setLimits(const CallerLimits &Limits);

  /// Makes every response from now on close its connection.
  void closeAfterResponses() { m_closeAfterResponses = true; }

  /// Accepts the connections that the kernel has already established, then no
  /// more, and closes idle ones as closeIdle() does.
  void stopListening(Instant Now);

  /// Closes the connections on which no request is in progress or has arrived
  /// unread. New ones are left for a second, as their first request is on its
  /// way. Returns the number of connections that still have something to
  /// receive or to send.
  std::size_t closeIdle(Instant Now);

  /// Closes connections without requests if there are too many. sweep() does
  /// so as well. Call it more often where new callers must not wait.
  void admitWaiting(Instant Now);

  /// Closes connections that have exceeded their time limits. Call it a few
  /// times a second.
  void sweep(Instant Now);

  /// Returns the number of connections with a request that has been received
  /// at least in part and has no response yet.
  std::size_t busy() const;
  std::size_t connections() const { return m_connections.size(); }
  /// Returns the number of connections that have been closed so far.
  std::uint64_t closedConnections() const { return m_closedConnections; }

private:
  friend class detail::CallerConnection;
  void accept(int Descriptor, const std::string &CallerAddress);
  void giveUpBodies(bool Stalled, Instant Now);
  void giveUpUnread(Instant Now);
  void count(CallerLimit Reason, const std::string &CallerAddress);
  void logLimits(Instant Now);
  std::size_t maxHeaderFields() const;
  void remove(detail::CallerConnection *Connection);

  event_base *m_base;
  std::size_t m_maxConnections;
  Handler m_handler;
  evconnlistener *m_listener = nullptr;
  CallerLimits m_limits;
  MemoryBudget *m_budget = nullptr;
  std::array<std::uint64_t, CallerLimitCount> m_limitCounts{};
  /// Counts at the last log line, and the address of the latest case.
  std::array<std::uint64_t, CallerLimitCount> m_loggedCounts{};
  std::array<std::string, CallerLimitCount> m_limitedCallers;
  Instant m_limitsLogged;
  bool m_closeAfterResponses = false;
  std::uint64_t m_closedConnections = 0;
  std::unordered_set<detail::CallerConnection *> m_connections;
};

} // namespace burdockpulley

#endif
