#ifndef BURDOCKPULLEY_LIBGATEWAY_NO_CODEC_H
#define BURDOCKPULLEY_LIBGATEWAY_NO_CODEC_H

#include "burdockpulley/platform_codec.h"

namespace burdockpulley {

/// For tests that reach no upstreams: nothing is decoded.
class NoCodec : public PlatformCodec {
public:
  const HeaderNames &headers() const override { return m_headers; }
  RegistryChange decodeEntry(const StoreEntry &) override { return {}; }
  RegistryChange decodeRemoval(const std::string &) override { return {}; }
  std::vector<std::string> followedPrefixes() const override { return {}; }
  std::optional<UpstreamId> upstreamOfKey(const std::string &) const override {
    return std::nullopt;
  }
  std::optional<LoadReport> decodeLoad(std::string_view) const override {
    return std::nullopt;
  }
  std::optional<double> decodeRequestLimit(std::string_view) const override {
    return std::nullopt;
  }
  UpstreamNotice decodeNotice(const HttpResponse &) const override {
    return {};
  }
  HttpRequest encodeGrant(const GrantCommand &) const override { return {}; }
  GrantOutcome decodeGrant(const HttpResponse &) const override {
    return GrantOutcome::Unanswered;
  }
  HttpRequest encodeRelease(const ReleaseCommand &) const override {
    return {};
  }
  std::optional<std::string>
  decodeRelease(const HttpResponse &) const override {
    return std::nullopt;
  }
  bool showsOtherUpstream(const HttpResponse &) const override { return false; }

private:
  HeaderNames m_headers;
};

} // namespace burdockpulley

#endif
