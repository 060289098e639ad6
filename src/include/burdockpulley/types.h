#ifndef BURDOCKPULLEY_TYPES_H
#define BURDOCKPULLEY_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace burdockpulley {

namespace detail {
/// Clock tag of Instant. It has no now(): the time is always an argument.
struct SteadyTimeline {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyTimeline>;
  static constexpr bool is_steady = true; // NOLINT
};
} // namespace detail

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A point on this process's steady clock. Instants of two processes can not
/// be compared.
using Instant = std::chrono::time_point<detail::SteadyTimeline, Duration>;

/// A value that only compares and converts with values of the same tag, so
/// that an id of one table can not index another.
template <class Tag, class Rep> class Strong {
public:
  constexpr Strong() = default;
  constexpr explicit Strong(Rep Value) : m_value(std::move(Value)) {}

  constexpr const Rep &value() const { return m_value; }

  friend auto operator<=>(const Strong &, const Strong &) = default;
  friend bool operator==(const Strong &, const Strong &) = default;

private:
  Rep m_value{};
};

/// Name of an entry host, unique in a deployment.
using HostId = Strong<struct HostIdTag, std::string>;
/// Name of a failure domain.
using DomainId = Strong<struct DomainIdTag, std::string>;
/// Name of a team.
using TeamId = Strong<struct TeamIdTag, std::string>;
/// Name of a service.
using ServiceId = Strong<struct ServiceIdTag, std::string>;
/// Name of an upstream.
using UpstreamId = Strong<struct UpstreamIdTag, std::string>;

/// Index of a partition within its service.
using PartitionIndex = Strong<struct PartitionIndexTag, std::uint32_t>;
/// Orders the owners that a partition has had; a higher token fences a lower.
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;
/// Number of a published configuration; it only grows.
using Revision = Strong<struct RevisionTag, std::uint64_t>;

/// Orders the hosts that have kept one upstream; a higher epoch fences a lower.
using KeeperEpoch = Strong<struct KeeperEpochTag, std::uint64_t>;

/// An IPv4 or IPv6 address in its numeric form and a TCP or UDP port.
struct Endpoint {
  std::string m_address;
  std::uint16_t m_port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// Writes an endpoint as ADDRESS:PORT.
/// Thread safety: safe.
std::string toString(const Endpoint &Where);

/// Reads ADDRESS:PORT with a numeric IPv4 address. Returns false, and leaves
/// \p Where alone, when \p Text is anything else.
/// Thread safety: safe.
bool parseEndpoint(const std::string &Text, Endpoint &Where);

/// Reads a time with its unit, 250ms or 1.5s. False, and \p Value left alone,
/// when \p Text is anything else or negative.
/// Thread safety: safe.
bool parseDuration(const std::string &Text, Duration &Value);

} // namespace burdockpulley

template <class Tag, class Rep>
struct std::hash<burdockpulley::Strong<Tag, Rep>> {
  std::size_t
  operator()(const burdockpulley::Strong<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>()(Id.value());
  }
};

#endif
