#ifndef BURDOCKPULLEY_SHARED_TOKEN_BUCKET_H
#define BURDOCKPULLEY_SHARED_TOKEN_BUCKET_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <random>

namespace burdockpulley {

/// The hosts that share a limit.
struct LimitSharers {
  /// Hosts whose requests are known to this host, including itself.
  std::size_t m_reporting = 1;
  std::size_t m_registered = 1; ///< All hosts, including those that are silent.
  Duration m_reportInterval{};  ///< Age that a host's report may reach.

  /// The part of a limit that the reporting hosts may use: an equal part for
  /// each silent host is left out.
  double reportingShare() const;
};

/// Token bucket that all hosts share without a common owner.
///
/// Each host keeps one of its own that is refilled at the whole rate and
/// charged with the requests of all hosts. As reports of the others arrive
/// late, hosts do not take tokens as they see them: each draws its share once
/// per report interval, in proportion to its demand and rounded at random, so
/// that together they draw about what the bucket holds. Thread safety: none.
class SharedTokenBucket {
public:
  struct Limits {
    double m_rate = 0;     ///< Tokens a second.
    double m_capacity = 1; ///< Tokens that may be saved.
    double m_maxDebt = 0;  ///< Tokens that may be owed.
  };

  /// Starts with \p Tokens.
  explicit SharedTokenBucket(double Tokens = 0) : m_tokens(Tokens) {}

  /// Adds the tokens since the last call, and charges \p PeerRequests of other
  /// hosts.
  void refill(const Limits &Current, double PeerRequests, Instant Now);

  /// True if this host holds a token that it has drawn, or draws its share of
  /// the tokens now. \p Demand and \p PeerDemand: requests that wait, or are
  /// expected, here and at the other hosts.
  bool draw(const LimitSharers &Sharers, double Demand, double PeerDemand,
            std::mt19937_64 &Random, Instant Now);
  /// The same for \p Tokens, which the caller takes for the host's share, at
  /// most once per \p Interval.
  bool draw(double Tokens, Duration Interval, std::mt19937_64 &Random,
            Instant Now);

  /// Charges one request of this host.
  void take();
  /// Takes one charge back.
  void refund() { m_tokens += 1; }
  /// Holds at least \p Tokens now.
  void raiseTo(double Tokens);
  /// Holds at most \p Tokens now.
  void lowerTo(double Tokens);

  double tokens() const { return m_tokens; } ///< Below zero if tokens are owed.
  /// Requests sent lately, by this host and by the others; older ones count for
  /// less, with a time constant of one second.
  double recentlySent() const { return m_recentlySent; }
  double recentlySentByPeers() const { return m_recentlySentByPeers; }

private:
  bool m_started = false;
  double m_tokens;
  Instant m_refilledAt;
  Instant m_nextDrawAt;
  std::uint32_t m_drawn = 0; ///< Requests left of the current draw.
  double m_recentlySent = 0;
  double m_recentlySentByPeers = 0;
};

} // namespace burdockpulley

#endif
