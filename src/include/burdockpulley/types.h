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
/// Clock type of Instant. It has no now(), because code takes the current time
/// as an argument.
struct SteadyTimeline {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyTimeline>;
  static constexpr bool is_steady = true; // NOLINT
};
} // namespace detail

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;

/// A point in time on the monotonic clock of this process. Instants of
/// different processes must not be compared.
using Instant = std::chrono::time_point<detail::SteadyTimeline, Duration>;

/// A strongly typed value: values with different tags neither convert to nor
/// compare with each other, so that one kind of id is not used as another.
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

/// Name of an entry host, unique within a deployment.
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
/// Orders the successive owners of one partition; a request with a lower token
/// than the highest one seen is rejected.
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;
/// Number of a published configuration; it only increases.
using Revision = Strong<struct RevisionTag, std::uint64_t>;

/// Orders the successive keepers of one upstream, the hosts that renew its
/// lease; a command with a lower epoch than the highest one seen is rejected.
using KeeperEpoch = Strong<struct KeeperEpochTag, std::uint64_t>;

/// A numeric IPv4 or IPv6 address and a TCP or UDP port.
struct Endpoint {
  std::string m_address;
  std::uint16_t m_port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// Formats an endpoint as ADDRESS:PORT.
/// Thread safety: safe.
std::string toString(const Endpoint &Value);

/// Parses ADDRESS:PORT with a numeric IPv4 address. Returns false, and leaves
/// \p Value unchanged, when \p Text has another form.
/// Thread safety: safe.
bool parseEndpoint(const std::string &Text, Endpoint &Value);

/// Parses a non-negative duration with the unit ms or s, such as 250ms or 1.5s.
/// Returns false, and leaves \p Value unchanged, when \p Text has another form
/// or exceeds 1e15 microseconds.
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
