#ifndef BURDOCKPULLEY_RANKED_REQUESTS_H
#define BURDOCKPULLEY_RANKED_REQUESTS_H

#include "burdockpulley/types.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace burdockpulley {

/// Identifies one caller's request within one process.
using RequestNumber = Strong<struct RequestNumberTag, std::uint64_t>;

/// Properties of a waiting request that decide its place in the queue.
struct WaitingRequest {
  RequestNumber m_number;
  std::uint32_t m_priority = 0; ///< Zero is the most urgent.
  Duration m_workTime{};        ///< Expected service time.
  Instant m_goal;               ///< A later response has less value.
  Instant m_deadline;           ///< A later response has no value.
};

/// Place of a request among those that wait; the least is sent first.
struct RequestRank {
  std::uint32_t m_priority = 0;
  bool m_late = false; ///< It most likely misses its latency goal.
  Instant m_goal;
  RequestNumber m_number;

  friend auto operator<=>(const RequestRank &, const RequestRank &) = default;
};

/// Number and summed service time of some requests.
struct QueuedWork {
  double m_requests = 0;
  Duration m_work{};
};

/// Requests in the order of their ranks, with the sums over those before a
/// rank, in logarithmic time: a treap whose nodes hold sums over their subtree.
/// Thread safety: none.
class RankedRequests {
public:
  struct Node {
    WaitingRequest m_request;
    RequestRank m_rank;
    Instant m_latestStart;       ///< It is useless to send it later.
    bool m_expectedLate = false; ///< As of its arrival; for the caller's use.

  private:
    friend class RankedRequests;
    std::uint64_t m_heapKey = 0;
    Node *m_left = nullptr;
    Node *m_right = nullptr;
    // Over the subtree of this node:
    QueuedWork m_sum;
    Instant m_earliestStart; ///< Least m_latestStart.
    Duration m_longestWork{};
    std::uint32_t m_maxPriority = 0;
    bool m_anyLate = false;
  };

  RankedRequests() = default;
  RankedRequests(const RankedRequests &) = delete;
  RankedRequests &operator=(const RankedRequests &) = delete;

  /// Precondition: no request with this number is present. The node is valid
  /// until the request is erased.
  Node &insert(const WaitingRequest &Request, bool Late, Instant LatestStart);
  /// Returns false if the request is not present.
  bool erase(RequestNumber Number);
  /// Moves a request behind those that can still meet their goal.
  /// Precondition: it is present.
  void markLate(RequestNumber Number);

  /// Null if the request is not present.
  const Node *find(RequestNumber Number) const;
  /// The request with the least rank; null if there is none.
  const Node *first() const;
  /// The request with the least rank above \p Rank; null if there is none.
  const Node *after(const RequestRank &Rank) const;
  /// Sum over the requests with ranks below \p Rank.
  QueuedWork before(const RequestRank &Rank) const;

  /// What can be said of the requests of a subtree together.
  struct Bounds {
    QueuedWork m_aheadOfLast; ///< At most this is ahead of each of them.
    std::uint32_t m_maxPriority = 0;
    bool m_anyLate = false;
    Instant m_earliestStart; ///< Least Node::m_latestStart.
    Duration m_longestWork{};
  };
  /// Calls \p TooLate for requests in the order of their ranks, with the sum
  /// over those before it for which it returned false. Subtrees for which
  /// \p AllInTime returns true are left out; their requests count as in time.
  void scan(const std::function<bool(const Bounds &)> &AllInTime,
            const std::function<bool(const Node &, const QueuedWork &)>
                &TooLate) const;

  std::size_t size() const { return m_nodes.size(); }

private:
  static void update(Node &Top);
  static Node *merge(Node *Left, Node *Right);
  /// Splits into the ranks below \p Rank and the others.
  static void split(Node *Top, const RequestRank &Rank, Node *&Less,
                    Node *&Others);
  static Node *eraseFrom(Node *Top, const RequestRank &Rank);
  void link(Node &Added);

  std::unordered_map<RequestNumber, Node> m_nodes;
  Node *m_root = nullptr;
};

} // namespace burdockpulley

#endif
