#include "burdockpulley/http.h"
#include "report.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <map>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr Duration StatusTimeout{2'000'000};

struct FreeBase {
  void operator()(event_base *Base) const { event_base_free(Base); }
};

/// Asks every host at the same time. A host that does not answer has null.
std::map<std::string, json> askHosts(const Declarations &Set) {
  std::unique_ptr<event_base, FreeBase> Base(event_base_new());
  std::map<std::string, json> Answers;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  std::size_t Waiting = 0;
  for (const FailureDomain &Domain : Set.m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts) {
      json &Answer = Answers[Host.m_name.value()];
      if (Host.m_adminAddress.m_port == 0)
        continue;
      ++Waiting;
      Clients.push_back(
          std::make_unique<HttpClient>(Base.get(), Host.m_adminAddress, 1));
      Clients.back()->call({"GET", "/status", {}, ""}, StatusTimeout,
                           [&](HttpError Error, HttpResponse &&Response) {
                             --Waiting;
                             if (Error == HttpError::None)
                               Answer =
                                   json::parse(Response.m_body, nullptr, false);
                           });
    }
  while (Waiting > 0)
    event_base_loop(Base.get(), EVLOOP_ONCE);
  Clients.clear();
  return Answers;
}

bool answered(const json &Status) { return Status.is_object(); }

bool healthy(const json &Status, std::uint64_t Number) {
  return answered(Status) &&
         Status.value("revision", std::uint64_t(0)) == Number &&
         Status.value("ready", false);
}

std::string hostLine(const std::string &Name, const json &Status) {
  if (!answered(Status))
    return "  " + Name + "  NO ANSWER\n";
  std::size_t Connected = 0;
  for (const json &Peer : Status["peers"])
    Connected += Peer["connected"].get<bool>() ? 1 : 0;
  std::uint64_t Slots = 0;
  std::uint64_t Busy = 0;
  for (const json &Upstream : Status["upstreams"]) {
    Slots += Upstream["slots"].get<std::uint64_t>();
    Busy += Upstream["inFlight"].get<std::uint64_t>();
  }
  const json &Age = Status["storeContactAgeMs"];
  return "  " + Name + "  revision " + Status["revision"].dump() +
         (Status["ready"].get<bool>() ? "" : "  NOT READY") + "  store " +
         (Age.is_null() ? "never" : Age.dump() + " ms ago") + "  peers " +
         std::to_string(Connected) + "/" +
         std::to_string(Status["peers"].size()) + "  keeps " +
         std::to_string(Status["upstreams"].size()) + " upstreams, " +
         std::to_string(Busy) + "/" + std::to_string(Slots) +
         " slots busy  requests " + Status["requestsInFlight"].dump() + "\n";
}

} // namespace

ExitCode runStatus(const CommandLine &Line) {
  StoreSession Session(Line.m_platform, Line.m_storeTimeout);
  SetReader::Result Result = Session.readCurrent();
  if (const auto *Error = std::get_if<StoreError>(&Result))
    return printStoreError(Line, *Error);
  const PublishedSet &Current = *std::get<0>(Result);
  const Declarations &Set = Current.m_declarations;
  std::uint64_t Number = Current.m_root.m_revision.value();
  std::map<std::string, json> Answers = askHosts(Set);
  std::string Text = "revision " + std::to_string(Number) + " by " +
                     Current.m_root.m_author + "\n";
  bool Healthy = true;
  for (const FailureDomain &Domain : Set.m_domains) {
    Text += "failure domain " + Domain.m_name.value() +
            (Set.domainOut(Domain.m_name) ? "  OUT\n" : "\n");
    for (const FailureDomain::Host &Host : Domain.m_hosts) {
      const json &Status = Answers[Host.m_name.value()];
      Healthy = Healthy && healthy(Status, Number);
      Text += hostLine(Host.m_name.value(), Status);
    }
  }
  for (const Maintenance &Order : Set.m_maintenance)
    if (!Order.m_upstream.value().empty())
      Text += "upstream " + Order.m_upstream.value() + "  OUT\n";
  printResult(Line,
              {{"revision", Number}, {"healthy", Healthy}, {"hosts", Answers}},
              Text);
  return Healthy ? ExitCode::Good : ExitCode::Degraded;
}

} // namespace burdockpulley
