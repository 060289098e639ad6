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

/// An upstream has registered or renewed its record.
struct UpstreamWritten {
  UpstreamRecord m_record;
};
/// An upstream's record is gone.
struct UpstreamRemoved {
  UpstreamId m_id;
};
/// Operators have published a configuration.
struct ConfigurationWritten {
  std::shared_ptr<const RoutingConfiguration> m_configuration;
};
/// Operators have taken a failure domain out, or back in.
struct DomainChanged {
  DomainId m_domain;
  bool m_out = false;
};
/// An entry that concerns the registry but can not be read.
struct UnreadableEntry {
  std::string m_key;
  std::string m_reason;
};
/// A change of the store that concerns the registry; monostate for any other.
using RegistryChange =
    std::variant<std::monostate, UpstreamWritten, UpstreamRemoved,
                 ConfigurationWritten, DomainChanged, UnreadableEntry>;

/// Names of the headers between callers, hosts and upstreams.
struct HeaderNames {
  std::string m_requestId;
  std::string m_deadline; ///< Milliseconds that the caller waits.
  std::string m_shardKey;
  std::string m_expectedUpstream; ///< Any other upstream refuses the request.
  std::string m_notRun;           ///< Present when an upstream did not run it.
  std::string m_load;             ///< Load report of an upstream.
  std::string m_upstreamName;     ///< Which upstream answers.
};

/// How the platform on which burdockpulley runs writes what all platforms
/// have: registered upstreams, published configurations, grants of keys.
/// Thread safety: none; it belongs to the loop's thread.
class PlatformCodec {
public:
  virtual ~PlatformCodec() = default;

  virtual const HeaderNames &headers() const = 0;

  /// Reads an entry of the store.
  virtual RegistryChange decodeEntry(const StoreEntry &Entry) = 0;
  /// Reads the removal of an entry.
  virtual RegistryChange decodeRemoval(const std::string &Key) = 0;

  /// The upstream whose record stands under a key; nothing for other keys.
  virtual std::optional<UpstreamId>
  upstreamOfKey(const std::string &Key) const = 0;

  /// Reads the load report in an upstream's answer.
  virtual std::optional<LoadReport>
  decodeLoad(std::string_view HeaderValue) const = 0;

  virtual HttpRequest encodeGrant(const GrantCommand &Order) const = 0;
  virtual GrantOutcome decodeGrant(const HttpResponse &Answer) const = 0;
  virtual HttpRequest encodeRelease(const ReleaseCommand &Order) const = 0;
  /// The handover; nothing when the answer confirms no release.
  virtual std::optional<std::string>
  decodeRelease(const HttpResponse &Answer) const = 0;

  /// True when the answer to an order shows that another upstream has the
  /// address now, so that the process it was meant for has ended.
  virtual bool showsOtherUpstream(const HttpResponse &Answer) const = 0;
};

} // namespace burdockpulley

#endif
