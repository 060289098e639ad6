// A request that crashes each backend that begins to run it comes again and
// again, at one machine after the other. Its service is one that is called
// rarely, beside a busy one.
#include "case.hh"

using namespace review;

namespace {

constexpr int Machines = 4;
constexpr int Backends = 10;
constexpr long long DownMs = 4000;        // "back after some seconds"
constexpr int ColdMs = 3000;               // cold_start of the site
constexpr long long SilenceMs = 3 * 870;  // three heartbeat intervals
constexpr long long PoisonEveryMs = 1500;
constexpr long long StabilityMs = 3000;
constexpr int LookEveryMs = 40;           // ordinary requests, busy service
constexpr int FeeEveryMs = 5000;          // the same, rarely called service
constexpr long long PlayMs = 45000;
const std::string PoisonPath = "/fee/return-77";

struct Run {
  long long m_at;
  std::string m_backend, m_request, m_target;
};

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string Folder = Arguments[1];
  record().open(Folder + "/record.txt");
  Deployment System{Arguments[2]};
  System.startStore();
  std::string RunLog = System.file("runs");
  std::map<std::string, Backend> Running;
  int Started = 0;
  auto StartBackend = [&](const std::string &Service, const std::string &Zone) {
    BackendOptions Options;
    Options.m_id = "i-" + std::to_string(++Started);
    Options.m_service = Service;
    Options.m_zone = Zone;
    Options.m_store = System.m_store;
    Options.m_address = freeAddress();
    Options.m_log = RunLog;
    if (Started > Backends + 4) // It starts during traffic.
      Options.m_coldMs = ColdMs;
    if (trouble())
      Options.m_poison = PoisonPath; // Only requests of the service come there.
    Backend Added{Options.m_id, Service, Zone, Options.m_address, 0};
    Added.m_process =
        System.m_processes.fork([&] { BackendServer(Options).run(); });
    Running[Added.m_id] = Added;
    record().line("backend %s of %s starts in zone %s", Added.m_id.c_str(),
                  Service.c_str(), Zone.c_str());
  };
  const char *Zones[] = {"a", "b"};
  for (int I = 0; I < Backends; ++I)
    StartBackend("fee", Zones[I % 2]);
  for (int I = 0; I < 4; ++I)
    StartBackend("herd", Zones[I % 2]);
  System.put("op/config",
             configuration("00000001", {"fee", "herd"},
                           {{"fee", "/fee/", "unsafe", "fee", 3000},
                            {"look", "/look/", "safe", "herd", 3000}}));
  for (int I = 0; I < Machines; ++I)
    System.startMachine(
        System.addMachine("m" + std::to_string(I + 1), Zones[I % 2]));
  System.waitUntilReady();
  sleepMs(4000); // Machines and the store are calm for the stability window.

  std::vector<Machine> All;
  for (auto &[Name, At] : System.m_machines)
    All.push_back(At);
  long long Until = nowMs() + PlayMs;
  std::atomic<int> Ordinary = 0, OrdinaryServed = 0;
  auto CallOrdinarily = [&](const std::string &Kind, int EveryMs) {
    unsigned Seed = static_cast<unsigned>(EveryMs);
    for (int Number = 0; nowMs() < Until; ++Number) {
      bool Look = Kind == "look";
      std::string Id = Kind + "-" + std::to_string(Number);
      const Machine &At =
          All[static_cast<std::size_t>(rand_r(&Seed)) % All.size()];
      Reply Got = call(At.m_callers, Look ? "GET" : "POST",
                       "/" + Kind + "/o" + std::to_string(Number),
                       {{"Host", "x.example"},
                        {"Request-Id", Id},
                        {"Deadline-Milliseconds", "2000"}},
                       Look ? "" : "body", 3000);
      ++Ordinary;
      OrdinaryServed += Got.m_status == 200;
      if (!Look || Got.m_status != 200)
        record().line("%s at %s: %d", Id.c_str(), At.m_name.c_str(),
                      Got.m_status);
      sleepMs(EveryMs);
    }
  };
  std::thread Lookers([&] { CallOrdinarily("look", LookEveryMs); });
  std::thread Payers([&] { CallOrdinarily("fee", FeeEveryMs); });
  // The platform: entries of silent backends go, and new starts come.
  struct Ended {
    std::string m_id, m_service, m_zone;
    long long m_at;
    bool m_removed = false;
  };
  std::vector<Ended> Down;
  std::atomic<bool> Stop = false;
  std::thread Platform([&] {
    while (!Stop) {
      for (auto It = Running.begin(); It != Running.end();) {
        if (!System.m_processes.ended(It->second.m_process)) {
          ++It;
          continue;
        }
        record().line("backend %s has ended", It->first.c_str());
        Down.push_back(
            {It->first, It->second.m_service, It->second.m_zone, nowMs()});
        It = Running.erase(It);
      }
      for (auto It = Down.begin(); It != Down.end();) {
        if (!It->m_removed && nowMs() - It->m_at >= SilenceMs) {
          System.remove("servers/" + It->m_id);
          It->m_removed = true;
        }
        if (nowMs() - It->m_at < DownMs) {
          ++It;
          continue;
        }
        Ended Former = *It;
        Down.erase(It);
        StartBackend(Former.m_service, Former.m_zone);
        break;
      }
      sleepMs(20);
    }
  });
  int Sent = 0, Refused = 0;
  for (std::size_t Number = 0; nowMs() < Until; ++Number) {
    const Machine &At = All[Number % All.size()];
    std::string Id = "p-" + std::to_string(Number);
    long long Began = nowMs();
    Reply Got = call(At.m_callers, "POST", PoisonPath,
                     {{"Host", "x.example"},
                      {"Request-Id", Id},
                      {"Deadline-Milliseconds", "2000"}},
                     "the same body", 3000, 1000, "127.0.0.9");
    ++Sent;
    Refused += Got.m_status == 503;
    record().line("%s POST %s at %s: %d", Id.c_str(), PoisonPath.c_str(),
                  At.m_name.c_str(), Got.m_status);
    sleepMs(std::max(0LL, PoisonEveryMs - (nowMs() - Began)));
  }
  Lookers.join();
  Payers.join();
  Stop = true;
  Platform.join();

  std::vector<Run> Runs;
  std::ifstream Log(RunLog);
  std::string Word;
  for (Run Each; Log >> Each.m_at >> Each.m_backend >> Word >> Each.m_request >>
                 Each.m_target;)
    if (Each.m_target == PoisonPath) {
      Runs.push_back(Each);
      record().line("run of %s at %s, at %lld ms", Each.m_request.c_str(),
                    Each.m_backend.c_str(), Each.m_at - record().began());
    }
  std::sort(Runs.begin(), Runs.end(),
            [](const Run &L, const Run &R) { return L.m_at < R.m_at; });
  std::size_t Late = 0;
  if (trouble() && Runs.size() >= 3)
    for (const Run &Each : Runs)
      Late += Each.m_at > Runs[2].m_at + StabilityMs;
  record().line("ordinary requests %d, served %d", Ordinary.load(),
                OrdinaryServed.load());
  record().line("the request was sent %d times, refused %d times, run %zu times",
                Sent, Refused, Runs.size());
  record().line("runs later than %lld ms after the third crash: %zu; the rule "
                "allows 3",
                StabilityMs, Late);
  if (Ordinary == 0 || OrdinaryServed == 0 || Runs.empty())
    return CannotRun;
  if (!trouble())
    return Runs.size() == static_cast<std::size_t>(Sent) ? Held : Broken;
  bool IsBroken = Late > 3;
  record().line(IsBroken ? "BROKEN" : "held");
  return IsBroken ? Broken : Held;
}
