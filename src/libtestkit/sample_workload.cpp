#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

namespace burdockpulley {

Declarations sampleSet(std::uint32_t Partitions) {
  const TeamId Censo("censo");
  Declarations Set;
  Set.m_teams = {{Censo, sha256Hex("secret")}};
  Set.m_domains = {{DomainId("curico"), "cl", {}},
                   {DomainId("talca"), "cl", {}}};
  Service Fee;
  Fee.m_name = ServiceId("fee");
  Fee.m_team = Censo;
  Service Herd = Fee;
  Herd.m_name = ServiceId("herd");
  Herd.m_keySource = KeySource::PathSegment;
  Herd.m_keySegment = 1;
  Herd.m_keyName = "1";
  Herd.m_partitions = Partitions;
  Herd.m_idempotentMethods = {"GET"};
  Set.m_services = {Fee, Herd};
  Set.m_routes = {{"fees", Censo, "/fees", Fee.m_name},
                  {"herds", Censo, "/herds", Herd.m_name}};
  return Set;
}

Upstream sampleUpstream(const std::string &Name, const std::string &Service,
                        const std::string &Domain) {
  Upstream Row;
  Row.m_name = UpstreamId(Name);
  Row.m_service = ServiceId(Service);
  Row.m_domain = DomainId(Domain);
  Row.m_slots = 4;
  return Row;
}

HttpResponse callAsTeam(const Endpoint &Where, const std::string &Method,
                        const std::string &Target, const std::string &Body,
                        Duration Timeout) {
  HttpRequest Request{
      Method, Target, {{"Authorization", "Bearer secret"}}, Body};
  return callOnce(Where, std::move(Request), Timeout);
}

} // namespace burdockpulley
