#include "workload.h"

#include "burdockpulley/hashing.h"

namespace burdockpulley::bench {

namespace {

constexpr const char *Token = "bench-token";
const TeamId BenchTeam("bench");
/// The experiments are about warm upstreams.
constexpr Duration NoWarmUp{1'000};

Service namedService(const std::string &Name) {
  Service Row;
  Row.m_name = ServiceId(Name);
  Row.m_team = BenchTeam;
  return Row;
}

} // namespace

std::string domainName(int Number) {
  return "domain-" + std::to_string(Number);
}

Declarations workloadSet(int Domains, std::uint32_t Partitions) {
  Declarations Set;
  Team Caller;
  Caller.m_name = BenchTeam;
  Caller.m_tokenSha256 = sha256Hex(Token);
  Set.m_teams = {Caller};
  for (int I = 0; I < Domains; ++I)
    Set.m_domains.push_back({DomainId(domainName(I)), "region-1", {}});
  Service Fee = namedService("fee");
  Service Herd = namedService("herd");
  Herd.m_keySource = KeySource::PathSegment;
  Herd.m_keySegment = 1;
  Herd.m_keyName = "1";
  Herd.m_partitions = Partitions;
  Herd.m_idempotentMethods = {"GET"};
  Service Search = namedService("search");
  Search.m_idempotentMethods = {"GET"};
  Set.m_services = {Fee, Herd, Search};
  Set.m_routes = {{"fees", BenchTeam, "/fees", Fee.m_name},
                  {"herds", BenchTeam, "/herds", Herd.m_name},
                  {"search", BenchTeam, "/search", Search.m_name}};
  return Set;
}

void startUpstream(Deployment &System, const std::string &Name,
                   const std::string &Service, int Domain, std::uint32_t Slots,
                   Duration ServiceTime) {
  Upstream Row;
  Row.m_name = UpstreamId(Name);
  Row.m_service = ServiceId(Service);
  Row.m_domain = DomainId(domainName(Domain));
  Row.m_slots = Slots;
  Row.m_connections = 200;
  Row.m_warmUp = NoWarmUp;
  System.startUpstream(Row, Service == "herd",
                       {"--service-us", std::to_string(ServiceTime.count())});
}

HttpRequest callerRequest(const std::string &Method, const std::string &Target,
                          std::string Body) {
  return {Method,
          Target,
          {{"Authorization", std::string("Bearer ") + Token}},
          std::move(Body)};
}

bool waitForKeys(const Deployment::HostProcess &Host, int Keys) {
  return waitUntil([&] {
    for (int Key = 0; Key < Keys; ++Key) {
      std::string Target = "/herds/" + std::to_string(Key);
      if (callOnce(Host.m_callers, callerRequest("GET", Target)).m_status !=
          200)
        return false;
    }
    return true;
  });
}

} // namespace burdockpulley::bench
