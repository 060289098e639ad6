// A machine is stopped by SIGTERM while orders are on their way to backends that
// read them slowly.
#include "case.hh"

using namespace review;

namespace {

constexpr int Orders = 6;
constexpr std::size_t BodyBytes = 24'000; // The largest body of plan-order.
constexpr int WindowBytes = 4096;          // "small windows"; the kernel doubles it.
constexpr int ReadPauseMs = 2100;
constexpr int TimeoutMs = 2500; // Of the route.
constexpr int DeadlineMs = 5000;
constexpr long long GraceMs = 6000;

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string Folder = Arguments[1];
  record().open(Folder + "/record.txt");
  Deployment System{Arguments[2]};
  System.m_figures = {8192, "200.0", "512", "2500ms", "198", "8"};
  System.startStore();
  std::string RunLog = System.file("runs");
  for (int I = 0; I < 4; ++I) {
    BackendOptions Options;
    Options.m_id = "i-" + std::to_string(I + 1);
    Options.m_service = "sparplan";
    Options.m_zone = I % 2 ? "b" : "a";
    Options.m_store = System.m_store;
    Options.m_address = freeAddress();
    // Without the disruption, the same time passes after the body was read.
    (trouble() ? Options.m_readPauseMs : Options.m_workMs) = ReadPauseMs;
    Options.m_slots = 6;
    Options.m_receiveBytes = WindowBytes;
    Options.m_log = RunLog;
    System.m_processes.fork([&] { BackendServer(Options).run(); });
  }
  System.put("op/config",
             configuration("00000001", {"sparplan"},
                           {{"order", "/order/", "unsafe", "sparplan",
                             TimeoutMs},
                            {"look", "/look/", "safe", "sparplan", 3000}}));
  for (int I = 0; I < 2; ++I)
    System.startMachine(
        System.addMachine("m" + std::to_string(I + 1), I % 2 ? "b" : "a"));
  System.waitUntilReady();
  sleepMs(4000); // Machines and the store are calm for the stability window.
  Machine &At = System.m_machines["m1"];

  struct Order {
    Reply m_reply;
    long long m_sent = 0, m_ended = 0;
  };
  std::vector<Order> Results(Orders);
  std::vector<std::thread> Threads;
  for (int I = 0; I < Orders; ++I)
    Threads.emplace_back([&, I] {
      Order &Own = Results[static_cast<std::size_t>(I)];
      std::string Id = "u-" + std::to_string(I);
      Own.m_sent = nowMs();
      Own.m_reply =
          call(At.m_callers, "POST", "/order/" + Id,
               {{"Host", "x.example"},
                {"Request-Id", Id},
                {"Deadline-Milliseconds", std::to_string(DeadlineMs)}},
               std::string(BodyBytes, 'u'), DeadlineMs + 1000);
      Own.m_ended = nowMs();
    });
  sleepMs(300);
  kill(At.m_process, SIGTERM);
  long long Stopped = nowMs();
  record().line("SIGTERM to %s", At.m_name.c_str());
  for (std::thread &Each : Threads)
    Each.join();
  long long ProcessEnd = 0;
  while (!ProcessEnd && nowMs() - Stopped < GraceMs + 2000) {
    if (System.m_processes.ended(At.m_process))
      ProcessEnd = nowMs();
    sleepMs(20);
  }
  record().line("the process ended %lld ms after SIGTERM", ProcessEnd - Stopped);
  sleepMs(ReadPauseMs);

  std::ifstream Log(RunLog);
  std::map<std::string, std::map<std::string, long long>> Events;
  long long When;
  for (std::string Backend, Event, Id, Target;
       Log >> When >> Backend >> Event >> Id >> Target;) {
    Events[Id][Event] = When;
    record().line("%s at %s: %s, at %lld ms", Id.c_str(), Backend.c_str(),
                  Event.c_str(), When - record().began());
  }
  int Lost = 0, Complete = 0;
  for (int I = 0; I < Orders; ++I) {
    const Order &Own = Results[static_cast<std::size_t>(I)];
    std::string Id = "u-" + std::to_string(I);
    bool Ran = Events[Id].count("run") != 0;
    bool Signed = !Own.m_reply.header("Response-Signature").empty();
    Complete += Own.m_reply.m_status == 200 && Signed;
    // Not counted: the timeout of the route, and work in the last sixth of grace_period.
    bool Early = Own.m_ended - Own.m_sent < TimeoutMs &&
                 Own.m_ended - Stopped < GraceMs * 5 / 6;
    bool Counts = Ran && !Signed && Early && Own.m_reply.m_status != 503;
    Lost += Counts;
    record().line("%s POST, %zu bytes: status %d%s, %lld ms after SIGTERM; a "
                  "backend had begun: %s%s",
                  Id.c_str(), BodyBytes, Own.m_reply.m_status,
                  Signed ? " of the backend" : "", Own.m_ended - Stopped,
                  Ran ? "yes" : "no", Counts ? "; BROKEN OFF" : "");
  }
  record().line("complete %d, broken off %d of %d", Complete, Lost, Orders);
  if (Complete + Lost == 0)
    return CannotRun;
  record().line(Lost > 0 ? "BROKEN" : "held");
  return Lost > 0 ? Broken : Held;
}
