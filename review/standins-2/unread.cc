// A crowd asks one machine for large answers at the same moment and does not
// read them. Ordinary clients have requests under way on kept connections.
#include "case.hh"

using namespace review;

namespace {

constexpr long MemoryKilobytes = 260L << 10; // memory_mb of the machine.
constexpr int Clients = 30;
constexpr int WorkMs = 600; ///< Of ordinary requests.
constexpr int DeadlineMs = 4000;

long statusKilobytes(pid_t Process, const char *Name) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.rfind(Name, 0) == 0)
      return atol(Line.c_str() + strlen(Name) + 1);
  return 0;
}

int setting(const char *Name, int Default) {
  const char *Value = getenv(Name);
  return Value ? atoi(Value) : Default;
}

} // namespace

int main(int, char **Arguments) {
  const int CrowdSize = setting("CROWD", 800);
  const int AnswerBytes = setting("BYTES", 540'000);
  signal(SIGPIPE, SIG_IGN);
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = std::min<rlim_t>(Limit.rlim_max, 10000);
  setrlimit(RLIMIT_NOFILE, &Limit);
  std::string Folder = Arguments[1];
  record().open(Folder + "/record.txt");
  Deployment System{Arguments[2]};
  System.startStore();
  std::string RunLog = System.file("runs");
  for (int I = 0; I < 16; ++I) {
    BackendOptions Options;
    Options.m_id = "i-" + std::to_string(I + 1);
    Options.m_service = I < 8 ? "archive" : "fee";
    Options.m_zone = I % 2 ? "b" : "a";
    Options.m_store = System.m_store;
    Options.m_address = freeAddress("127.0.0.1");
    Options.m_workMs = I < 8 ? 20 : WorkMs;
    Options.m_log = RunLog;
    System.m_processes.fork([&] { BackendServer(Options).run(); });
  }
  System.put("op/config",
             configuration(
                 "00000001", {"archive", "fee"},
                 {{"export", "/export/", "download", "archive", DeadlineMs},
                  {"fee", "/fee/", "unsafe", "fee", 3000}}));
  for (int I = 0; I < 2; ++I)
    System.startMachine(
        System.addMachine("m" + std::to_string(I + 1), I % 2 ? "b" : "a"));
  System.waitUntilReady();
  sleepMs(4000); // Machines and the store are calm for the stability window.
  Machine &At = System.m_machines["m1"];

  std::atomic<bool> Stop = false;
  std::atomic<long long> KilledAt = 0;
  std::atomic<long> Peak = 0;
  // The platform kills a process that exceeds the memory of its machine.
  std::thread Platform([&] {
    while (!Stop && !KilledAt) {
      long Resident = statusKilobytes(At.m_process, "VmRSS:");
      Peak = std::max(Peak.load(), Resident);
      if (Resident > MemoryKilobytes) {
        record().line("%s takes %ld MB, of %ld MB: the platform kills it",
                      At.m_name.c_str(), Resident >> 10, MemoryKilobytes >> 10);
        kill(At.m_process, SIGKILL);
        KilledAt = nowMs();
      }
      sleepMs(2);
    }
  });
  struct Request {
    std::string m_id;
    int m_status;
    bool m_closed;
    bool m_kept;
    long long m_ended;
  };
  std::mutex Mutex;
  std::vector<Request> Requests;
  std::vector<std::thread> Ordinary;
  for (int Client = 0; Client < Clients; ++Client)
    Ordinary.emplace_back([&, Client] {
      sleepMs(WorkMs * Client / Clients); // They are not in step.
      int Socket = -1, OnConnection = 0;
      for (int Number = 0; !Stop && !KilledAt; ++Number) {
        if (Socket < 0) {
          Socket = connectTo(At.m_callers, 1000);
          OnConnection = 0;
          if (Socket < 0)
            continue;
        }
        std::string Id =
            "o-" + std::to_string(Client) + "-" + std::to_string(Number);
        Reply Got;
        if (sendAll(Socket,
                    encode("POST", "/fee/" + Id,
                           {{"Host", "x.example"},
                            {"Request-Id", Id},
                            {"Deadline-Milliseconds", "3000"}},
                           "body"),
                    1000))
          readReply(Socket, Got, nowMs() + 4000);
        {
          std::lock_guard<std::mutex> Guard(Mutex);
          Requests.push_back(
              {Id, Got.m_status, Got.m_closed, OnConnection > 0, nowMs()});
        }
        ++OnConnection;
        if (Got.m_status == 0 || Got.header("Connection") == "close") {
          close(Socket);
          Socket = -1;
        }
      }
      if (Socket >= 0)
        close(Socket);
    });
  sleepMs(3000);
  record().line("before the crowd: %s takes %ld MB at most", At.m_name.c_str(),
                Peak.load() >> 10);

  std::vector<int> Crowd;
  for (int I = 0; I < CrowdSize; ++I) {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int Window = 8192, Segment = 1400; // As over an ordinary network.
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Window, sizeof(Window));
    setsockopt(Socket, IPPROTO_TCP, TCP_MAXSEG, &Segment, sizeof(Segment));
    sockaddr_in Own = toSocket({"127.0.1." + std::to_string(1 + I % 8), 0});
    (void)bind(Socket, reinterpret_cast<sockaddr *>(&Own), sizeof(Own));
    sockaddr_in Target = toSocket(At.m_callers);
    if (connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                sizeof(Target)) != 0) {
      close(Socket);
      continue;
    }
    std::string Id = "c-" + std::to_string(I);
    sendAll(Socket,
            encode("GET", "/export/" + std::to_string(AnswerBytes),
                   {{"Host", "x.example"},
                    {"Request-Id", Id},
                    {"Deadline-Milliseconds", std::to_string(DeadlineMs)}},
                   ""),
            1000);
    Crowd.push_back(Socket);
  }
  record().line("the crowd has sent %zu requests for %d bytes each",
                Crowd.size(), AnswerBytes);
  long long Until = nowMs() + 6000;
  std::vector<char> Bytes(1 << 20);
  while (nowMs() < Until && !KilledAt) {
    if (trouble()) {
      sleepMs(20);
      continue;
    }
    std::vector<pollfd> Events;
    for (int Socket : Crowd)
      Events.push_back({Socket, POLLIN, 0});
    poll(Events.data(), Events.size(), 20);
    for (const pollfd &Each : Events)
      if (Each.revents)
        (void)!recv(Each.fd, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
  }
  sleepMs(500);
  long High = KilledAt ? Peak.load() : statusKilobytes(At.m_process, "VmHWM:");
  Stop = true;
  Platform.join();
  for (std::thread &Each : Ordinary)
    Each.join();
  for (int Socket : Crowd)
    close(Socket);

  std::ifstream Log(RunLog);
  std::string Runs((std::istreambuf_iterator<char>(Log)), {});
  int Answered = 0, Lost = 0;
  for (const Request &Each : Requests) {
    Answered += Each.m_status == 200;
    bool Ran = Runs.find(" run " + Each.m_id + " ") != std::string::npos;
    bool Counts = Ran && Each.m_kept && Each.m_status == 0 && Each.m_closed;
    Lost += Counts;
    if (Each.m_status != 200)
      record().line("%s POST on a %s connection: status %d%s; run by a backend: "
                    "%s",
                    Each.m_id.c_str(), Each.m_kept ? "kept" : "new",
                    Each.m_status, Each.m_closed ? ", closed without answer" : "",
                    Ran ? "yes" : "no");
  }
  record().line("memory at its peak %ld MB, of %ld MB", High >> 10,
                MemoryKilobytes >> 10);
  record().line("ordinary requests answered %d, passed on and lost %d; the rule "
                "allows 3",
                Answered, Lost);
  if (Answered == 0 || Crowd.empty())
    return CannotRun;
  bool IsBroken = KilledAt != 0 && Lost > 3;
  record().line(IsBroken ? "BROKEN" : "held");
  return IsBroken ? Broken : Held;
}
