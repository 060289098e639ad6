#ifndef BURDOCKPULLEY_PLATFORM_CODEC_H
#define BURDOCKPULLEY_PLATFORM_CODEC_H

#include "burdockpulley/http.h"
#include "burdockpulley/key_coordinator.h"
#include "burdockpulley/route_table.h"
#include "burdockpulley/store.h"
#include "burdockpulley/upstream_registry.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace burdockpulley {

/// An upstream wrote its record, to register or as a heartbeat.
struct UpstreamWritten {
  UpstreamRecord m_record;
};
/// An upstream's record was removed.
struct UpstreamRemoved {
  UpstreamId m_id;
};
/// Operators published a configuration.
struct ConfigurationWritten {
  std::shared_ptr<const RoutingConfiguration> m_configuration;
};
/// Operators took a failure domain out of service, or put it back.
struct DomainChanged {
  DomainId m_domain;
  bool m_out = false;
};
/// An entry of the registry that cannot be decoded.
struct UnreadableEntry {
  std::string m_key;
  std::string m_reason;
};
/// A decoded change of the registry; monostate for any other store entry.
using RegistryChange =
    std::variant<std::monostate, UpstreamWritten, UpstreamRemoved,
                 ConfigurationWritten, DomainChanged, UnreadableEntry>;

/// Names of the HTTP headers that callers, hosts and upstreams exchange.
struct HeaderNames {
  std::string m_requestId;
  std::string m_deadline; ///< How long the caller waits, in milliseconds.
  std::string m_shardKey;
  /// The upstream that a request is meant for; any other refuses the request.
  std::string m_expectedUpstream;
  /// Present in a response when the upstream did not run the request.
  std::string m_notRun;
  std::string m_load;         ///< Load report of the responding upstream.
  std::string m_requestLimit; ///< Request rate that the upstream takes at most.
  std::string m_upstreamName; ///< The responding upstream.
  /// Present in all responses of an upstream that leaves.
  std::string m_leaving;
  std::string m_credentials; ///< API key of the caller.
  std::string m_team;        ///< Tells an upstream the team of a request.
};

/// What an upstream says of itself in a response.
struct UpstreamNotice {
  bool m_leaving = false; ///< It will end soon.
  /// It wants no requests from the receiving host for this time; zero if it
  /// does not say so.
  Duration m_pause{};
  bool m_pauseUnreadable = false; ///< It names a pause that makes no sense.
};

/// Encodes and decodes the formats of the platform on which burdockpulley runs:
/// records of upstreams, published configurations, load reports, and the
/// requests that grant and release keys.
/// Thread safety: none; all calls come from the event loop's thread.
class PlatformCodec {
public:
  virtual ~PlatformCodec() = default;

  virtual const HeaderNames &headers() const = 0;

  /// Decodes an entry that was written to the store.
  virtual RegistryChange decodeEntry(const StoreEntry &Entry) = 0;
  /// Decodes the removal of an entry from the store.
  virtual RegistryChange decodeRemoval(const std::string &Key) = 0;

  /// Prefixes of all keys for which decodeEntry() returns a change.
  virtual std::vector<std::string> followedPrefixes() const = 0;

  /// Returns the upstream whose record is stored under \p Key, or nothing when
  /// the key is not that of an upstream's record.
  virtual std::optional<UpstreamId>
  upstreamOfKey(const std::string &Key) const = 0;

  /// Decodes the load report header of an upstream's response. Returns nothing
  /// when it cannot be decoded.
  virtual std::optional<LoadReport>
  decodeLoad(std::string_view HeaderValue) const = 0;

  /// Decodes the request limit header of an upstream's response, in requests a
  /// second. Returns nothing when it cannot be decoded.
  virtual std::optional<double>
  decodeRequestLimit(std::string_view HeaderValue) const = 0;

  /// Decodes what the response of an upstream says of the upstream itself.
  virtual UpstreamNotice decodeNotice(const HttpResponse &Response) const = 0;

  virtual HttpRequest encodeGrant(const GrantCommand &Command) const = 0;
  virtual GrantOutcome decodeGrant(const HttpResponse &Response) const = 0;
  virtual HttpRequest encodeRelease(const ReleaseCommand &Command) const = 0;
  /// Returns the handover data of the previous owner, or nothing when the
  /// response does not confirm the release.
  virtual std::optional<std::string>
  decodeRelease(const HttpResponse &Response) const = 0;

  /// True when the response to a grant or release comes from another upstream
  /// than the one that it was meant for.
  virtual bool showsOtherUpstream(const HttpResponse &Response) const = 0;
};

} // namespace burdockpulley

#endif
