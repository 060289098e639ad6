// A crowd of callers sends requests that stop just short of their end and stay
// open. Ordinary clients try to connect meanwhile.
#include "case.hh"

using namespace review;

namespace {

constexpr int CrowdSize = 4000;
constexpr int Clients = 8; // The rule speaks of seven or more that try.
constexpr long long CalmMs = 4000;
constexpr long long StabilityMs = 3000;
constexpr long long CrowdMs = 25000;
constexpr int ConnectMs = 1000; // Clients allow a connection one second.
constexpr int ReadMs = 1000;    // Then the node has to have read the request.

struct Try {
  long long m_from, m_to;
  int m_client;
  bool m_taken; ///< There was a connection, whatever came of it.
  bool m_served;
};

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = std::min<rlim_t>(Limit.rlim_max, 10000);
  setrlimit(RLIMIT_NOFILE, &Limit);
  std::string Folder = Arguments[1];
  record().open(Folder + "/record.txt");
  Deployment System{Arguments[2]};
  if (Limit.rlim_cur < CrowdSize + 500)
    System.fail("too few descriptors for the crowd");
  System.startStore();
  std::string RunLog = System.file("runs");
  for (int I = 0; I < 4; ++I) {
    BackendOptions Options;
    Options.m_id = "i-" + std::to_string(I + 1);
    Options.m_service = "fee";
    Options.m_zone = I % 2 ? "b" : "a";
    Options.m_store = System.m_store;
    Options.m_address = freeAddress();
    Options.m_log = RunLog;
    System.m_processes.fork([&] { BackendServer(Options).run(); });
  }
  System.put("op/config",
             configuration("00000001", {"fee"},
                           {{"fee", "/fee/", "unsafe", "fee", 3000},
                            {"look", "/look/", "safe", "fee", 3000}}));
  for (int I = 0; I < 2; ++I)
    System.startMachine(
        System.addMachine("m" + std::to_string(I + 1), I % 2 ? "b" : "a"));
  System.waitUntilReady();
  sleepMs(2000);
  const Machine &At = System.m_machines["m1"];

  std::atomic<bool> Stop = false;
  std::mutex Mutex;
  std::vector<Try> Tries;
  std::vector<std::pair<long long, bool>> Checks;
  std::vector<std::thread> Threads;
  for (int Client = 0; Client < Clients; ++Client)
    Threads.emplace_back([&, Client] {
      for (int Number = 0; !Stop; ++Number) {
        std::string Id =
            "o-" + std::to_string(Client) + "-" + std::to_string(Number);
        long long From = nowMs();
        Reply Got =
            call(At.m_callers, "GET", "/look/" + Id,
                 {{"Host", "x.example"},
                  {"Request-Id", Id},
                  {"Deadline-Milliseconds", "3000"}},
                 "", ConnectMs + ReadMs, ConnectMs,
                 "127.0.0." + std::to_string(10 + Client));
        long long To = nowMs();
        record().line("%s GET: %s, status %d, after %lld ms", Id.c_str(),
                      Got.m_connected ? "connected" : "no connection",
                      Got.m_status, To - From);
        {
          std::lock_guard<std::mutex> Guard(Mutex);
          Tries.push_back(
              {From, To, Client, Got.m_connected, Got.m_status == 200});
        }
        sleepMs(100);
      }
    });
  Threads.emplace_back([&] {
    while (!Stop) {
      bool Ready = System.ready(At);
      record().line("readiness: %s", Ready ? "200" : "not ready");
      {
        std::lock_guard<std::mutex> Guard(Mutex);
        Checks.emplace_back(nowMs(), Ready);
      }
      sleepMs(500);
    }
  });
  sleepMs(CalmMs);

  // The crowd: bodies of 1,000 bytes of which the last byte is missing.
  long long CrowdBegan = nowMs();
  std::vector<int> Crowd;
  int Opened = 0;
  while (trouble() && Opened < CrowdSize) {
    int Socket = connectTo(
        At.m_callers, 100, "127.0.1." + std::to_string(1 + Opened % 8));
    ++Opened;
    if (Socket < 0)
      continue;
    std::string Id = "c-" + std::to_string(Opened);
    std::string Text = encode("POST", "/fee/" + Id,
                              {{"Host", "x.example"},
                               {"Request-Id", Id},
                               {"Deadline-Milliseconds", "3000"}},
                              std::string(1000, 'b'));
    Text.pop_back();
    sendAll(Socket, Text, 100);
    Crowd.push_back(Socket);
    if (nowMs() - CrowdBegan > CrowdMs / 2)
      break;
  }
  record().line("the crowd has %zu connections, opened within %lld ms",
                Crowd.size(), nowMs() - CrowdBegan);
  while (nowMs() - CrowdBegan < CrowdMs)
    sleepMs(100);
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();
  for (int Socket : Crowd)
    close(Socket);

  // The longest span in which no try got a connection.
  std::sort(Tries.begin(), Tries.end(),
            [](const Try &L, const Try &R) { return L.m_to < R.m_to; });
  long long Last = Tries.empty() ? 0 : Tries.front().m_from;
  long long From = 0, Longest = 0;
  for (const Try &Each : Tries) {
    if (!Each.m_taken)
      continue;
    if (Each.m_to - Last > Longest) {
      Longest = Each.m_to - Last;
      From = Last;
    }
    Last = Each.m_to;
  }
  if (!Tries.empty() && Tries.back().m_to - Last > Longest) {
    Longest = Tries.back().m_to - Last;
    From = Last;
  }
  std::map<int, int> TriedBy;
  int Served = 0;
  for (const Try &Each : Tries) {
    Served += Each.m_served;
    if (Each.m_from >= From && Each.m_to <= From + Longest && !Each.m_taken)
      ++TriedBy[Each.m_client];
  }
  int NotReady = 0, Asked = 0;
  for (const auto &[When, Ready] : Checks)
    if (When >= From && When <= From + Longest) {
      ++Asked;
      NotReady += !Ready;
    }
  record().line("tries %zu, served %d", Tries.size(), Served);
  record().line("longest span in which the machine took no new connection: "
                "%lld ms, %zu clients tried; readiness asked %d times, not "
                "ready %d times",
                Longest, TriedBy.size(), Asked, NotReady);
  if (Served == 0)
    return CannotRun;
  bool IsBroken = Longest >= StabilityMs && TriedBy.size() >= 7 &&
                  Asked > 0 && NotReady == 0;
  record().line(IsBroken ? "BROKEN" : "held");
  return IsBroken ? Broken : Held;
}
