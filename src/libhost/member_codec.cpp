#include "member_codec.h"

#include "peer_types.h"

namespace burdockpulley {

wire::MemberMessage toWire(const MemberMessage &Message) {
  wire::MemberMessage Wire;
  Wire.kind = static_cast<std::int32_t>(Message.m_kind);
  Wire.sequence = static_cast<std::int64_t>(Message.m_sequence);
  Wire.incarnation = static_cast<std::int64_t>(Message.m_incarnation.value());
  Wire.digest = static_cast<std::int64_t>(Message.m_digest);
  Wire.target = Message.m_target.value();
  for (const MemberUpdate &Each : Message.m_updates) {
    wire::MemberUpdate News;
    News.host = Each.m_host.value();
    News.state = static_cast<std::int32_t>(Each.m_state);
    News.incarnation = static_cast<std::int64_t>(Each.m_incarnation.value());
    News.observer = Each.m_observer.value();
    Wire.news.push_back(std::move(News));
  }
  for (const DomainDigest &Each : Message.m_digests) {
    wire::DomainDigest Digest;
    Digest.domain = Each.m_domain.value();
    Digest.digest = static_cast<std::int64_t>(Each.m_digest);
    Wire.digests.push_back(std::move(Digest));
  }
  return Wire;
}

bool fromWire(const wire::MemberMessage &Wire, MemberMessage &Message) {
  if (Wire.kind < 0 ||
      Wire.kind > static_cast<std::int32_t>(MemberMessage::Kind::Sync))
    return false;
  Message.m_kind = static_cast<MemberMessage::Kind>(Wire.kind);
  Message.m_sequence = static_cast<std::uint64_t>(Wire.sequence);
  Message.m_incarnation =
      Incarnation(static_cast<std::uint64_t>(Wire.incarnation));
  Message.m_digest = static_cast<std::uint64_t>(Wire.digest);
  Message.m_target = HostId(Wire.target);
  for (const wire::MemberUpdate &Each : Wire.news) {
    if (Each.state < 0 ||
        Each.state > static_cast<std::int32_t>(MemberState::Lost))
      return false;
    Message.m_updates.push_back(
        {HostId(Each.host), static_cast<MemberState>(Each.state),
         Incarnation(static_cast<std::uint64_t>(Each.incarnation)),
         HostId(Each.observer)});
  }
  for (const wire::DomainDigest &Each : Wire.digests)
    Message.m_digests.push_back(
        {DomainId(Each.domain), static_cast<std::uint64_t>(Each.digest)});
  return true;
}

} // namespace burdockpulley
