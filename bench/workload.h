#ifndef BURDOCKPULLEY_BENCH_WORKLOAD_H
#define BURDOCKPULLEY_BENCH_WORKLOAD_H

#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

namespace burdockpulley::bench {

/// One keyed service "herd" (GET /herds/KEY), one unkeyed "fee" (POST /fees)
/// and one unkeyed idempotent "search" (GET /search), all of one team.
/// Thread safety: safe.
Declarations workloadSet(int Domains, std::uint32_t Partitions);

/// Name of a failure domain of that set, counted from 0.
std::string domainName(int Number);

/// Adds an upstream that serves \p Service to a deployment.
void startUpstream(Deployment &System, const std::string &Name,
                   const std::string &Service, int Domain, std::uint32_t Slots,
                   Duration ServiceTime);

/// A request as the team's callers send it.
HttpRequest callerRequest(const std::string &Method, const std::string &Target,
                          std::string Body = "");

/// Waits until the host answers 200 for each of the first \p Keys keys.
bool waitForKeys(const Deployment::HostProcess &Host, int Keys);

} // namespace burdockpulley::bench

#endif
