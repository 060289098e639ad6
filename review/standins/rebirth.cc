// One backend of eight falls silent with requests running and starts again, under
// the instance_id that it had, at another port; the clients of these requests
// leave before their deadline. Arguments: the folder for record.txt.
#include "kit.hh"

#include <set>

using namespace review;

namespace {

constexpr int Rounds = 11;
constexpr int Backends = 8;
constexpr int Slots = 4;
constexpr int WorkMillis = 78;
constexpr int DeadlineMillis = 2000; // Also the route's timeout.
/// Clients that give up leave within this time, as in the site file.
constexpr int GiveUpMillis = 1500;
/// Within it, hosts know of the new start: they watch every 0.7 s.
constexpr int NoticeMillis = 850;
constexpr int WaitMillis = 6000;
/// RULES.md: eight or more have no final answer 0.5 s after the timeout.
constexpr int LateMillis = DeadlineMillis + 500;
constexpr int MinUnanswered = 8;

std::string configurationOfCase() {
  std::string Text = configuration(1);
  const std::string From = "\"timeout\":\"3000ms\"";
  for (std::size_t At = 0; (At = Text.find(From, At)) != Text.npos;)
    Text.replace(At, From.size(),
                 "\"timeout\":\"" + std::to_string(DeadlineMillis) + "ms\"");
  return Text;
}

/// A client's request that is under way. Its client waits for WaitMillis.
struct Sent {
  std::string m_id;
  int m_socket = -1;
  std::int64_t m_at = 0;
};

class Case {
public:
  Case(const std::string &Folder, bool Trouble)
      : m_log(Folder + "/record.txt"), m_trouble(Trouble) {}

  int play() {
    for (int Number = 1; Number <= Backends; ++Number)
      start(Number);
    m_system.put("op/config", configurationOfCase());
    m_system.startHost("host-1", "a");
    m_port = m_system.m_hosts["host-1"].m_callers;
    auto Serves = [&] {
      return call(m_port, "POST", "/fee/x", clientHeaders("p" + number()),
                  "body", 500)
                 .m_status == 200;
    };
    if (!waitUntil(Serves, 20'000))
      throw CannotRun("the deployment does not serve");
    pauseFor(2000);
    for (int Round = 0; Round < Rounds && m_unanswered <= MinUnanswered; ++Round)
      playRound(Round);
    for (const std::string &Name : m_names)
      copyLog(Name);
    m_log.line("of %d requests whose clients waited, %d had no answer after %d "
               "ms, %d others lasted longer than the timeout",
               m_waited.load(), m_unanswered.load(), LateMillis,
               m_timedOut.load());
    printf("of %d requests whose clients waited, %d had no answer after %d ms, "
           "%d others lasted longer than the timeout\n",
           m_waited.load(), m_unanswered.load(), LateMillis,
           m_timedOut.load());
    bool Many = m_unanswered >= MinUnanswered &&
                m_unanswered * 4 > m_unanswered + m_timedOut;
    return Many ? 1 : 0;
  }

private:
  std::string number() { return std::to_string(++m_numbers); }

  /// Starts a process of a backend, at a port of its own.
  void start(int Number) {
    std::string Id = "fee-" + std::to_string(Number);
    std::string Name = Id + "." + std::to_string(m_processes.size());
    std::vector<std::string> Words = {
        "--id", Id, "--service", "fee", "--domain", "a", "--store",
        "127.0.0.1:" + std::to_string(m_system.m_storePort), "--log",
        m_system.file(Name + ".runs"), "--work",
        std::to_string(WorkMillis) + "ms", "--slots", std::to_string(Slots),
        "--port-file", m_system.file(Name + ".ports")};
    m_processes.push_back(std::make_unique<Process>(
        Deployment::program("burdockpulley-kv-upstream-standin"), Words,
        m_system.file(Name + ".log")));
    m_names.push_back(Name);
    int Port = readPorts(m_system.file(Name + ".ports"), 1)[0];
    m_log.line("backend %s starts at port %d", Id.c_str(), Port);
    if (Number == 1) {
      m_first = m_processes.back().get();
      m_firstName = Name;
    }
  }

  /// The ids of the requests that the present process of fee-1 has begun.
  std::vector<std::string> runs() const {
    std::ifstream Input(m_system.file(m_firstName + ".runs"));
    std::vector<std::string> Ids;
    for (std::string Line; std::getline(Input, Line);) {
      std::istringstream Words(Line);
      std::string Kind;
      std::string Id;
      if (Words >> Kind >> Id && Kind == "run")
        Ids.push_back(Id);
    }
    return Ids;
  }

  Sent send(const std::string &Tag) {
    Sent Result{Tag + "-" + number(), connectTo(m_port), nowMicros()};
    std::string Text =
        encodeRequest("POST", "/fee/x",
                      clientHeaders(Result.m_id, -1, DeadlineMillis), "body");
    if (Result.m_socket < 0 ||
        ::send(Result.m_socket, Text.data(), Text.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(Text.size()))
      throw CannotRun("a client can't send");
    m_log.line("client sends %s", Result.m_id.c_str());
    return Result;
  }

  /// Waits for the answer in a thread of its own.
  void await(const Sent &Request) {
    m_clients.emplace_back([this, Request] {
      std::string Buffer;
      Answer Result = readAnswer(Request.m_socket, Buffer, WaitMillis);
      auto Spent = (nowMicros() - Request.m_at) / 1000;
      m_log.line("client %s: %s%d after %lld ms", Request.m_id.c_str(),
                 Result.m_status == 0 ? "no answer, status " : "",
                 Result.m_status, static_cast<long long>(Spent));
      close(Request.m_socket);
      ++m_waited;
      bool Unanswered = Spent > LateMillis;
      m_unanswered += Unanswered;
      m_timedOut += !Unanswered && Spent > DeadlineMillis;
    });
  }

  void playRound(int Round) {
    std::string Tag = std::to_string(Round);
    std::size_t Had = runs().size();
    std::int64_t Began = nowMicros();
    std::vector<Sent> Running;
    for (int I = 0; I < Backends * 2; ++I)
      Running.push_back(send("running-" + Tag));
    if (!waitUntil([&] { return runs().size() > Had; }, 100, 1)) {
      // None of them went to fee-1.
      for (const Sent &Each : Running)
        await(Each);
      return joinClients();
    }
    pauseFor(10);
    std::vector<std::string> Before = runs();
    if (m_trouble) {
      m_first->signal(SIGSTOP);
      m_log.line("backend fee-1 falls silent");
      start(1);
    }
    // By the number that a request has at its process: who will leave.
    std::map<std::size_t, Sent> Leaving;
    for (const Sent &Each : Running) {
      auto At = std::find(Before.begin() + static_cast<std::ptrdiff_t>(Had),
                          Before.end(), Each.m_id);
      if (At == Before.end())
        await(Each);
      else
        Leaving[static_cast<std::size_t>(At - Before.begin())] = Each;
    }
    pauseFor(NoticeMillis);
    // Ordinary requests, until the new process has had as many.
    while (!Leaving.empty() &&
           nowMicros() - Began < GiveUpMillis * 1000LL) {
      for (int I = 0; I < Backends * Slots; ++I)
        await(send("later-" + Tag));
      std::int64_t Until = nowMicros() + (WorkMillis + 20) * 1000LL;
      while (nowMicros() < Until) {
        std::size_t Begun = m_trouble ? runs().size() : SIZE_MAX;
        while (!Leaving.empty() && Leaving.begin()->first < Begun)
          leave(Leaving);
        pauseFor(1);
      }
    }
    while (!Leaving.empty())
      leave(Leaving);
    joinClients();
  }

  void joinClients() {
    for (std::thread &Client : m_clients)
      Client.join();
    m_clients.clear();
  }

  void leave(std::map<std::size_t, Sent> &Leaving) {
    const Sent &First = Leaving.begin()->second;
    close(First.m_socket);
    m_log.line("client %s leaves after %lld ms", First.m_id.c_str(),
               static_cast<long long>((nowMicros() - First.m_at) / 1000));
    Leaving.erase(Leaving.begin());
  }

  void copyLog(const std::string &Name) {
    std::ifstream Input(m_system.file(Name + ".runs"));
    for (std::string Line; std::getline(Input, Line);) {
      std::istringstream Words(Line);
      std::string Kind;
      std::string Id;
      int Key = 0;
      std::int64_t At = 0;
      if (Words >> Kind >> Id >> Key >> At)
        m_log.lineAt(At, "backend process %s: %s %s", Name.c_str(),
                     Kind.c_str(), Id.c_str());
    }
  }

  Record m_log;
  bool m_trouble;
  Deployment m_system;
  std::vector<std::unique_ptr<Process>> m_processes;
  std::vector<std::string> m_names;
  std::vector<std::thread> m_clients;
  Process *m_first = nullptr; ///< The present process of fee-1.
  std::string m_firstName;
  int m_port = 0;
  std::atomic<int> m_numbers{0};
  std::atomic<int> m_waited{0};
  std::atomic<int> m_unanswered{0};
  std::atomic<int> m_timedOut{0};
};

} // namespace

int main(int, char **Arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = getenv("TROUBLE");
  try {
    Case Played(Arguments[1], !Trouble || std::string(Trouble) != "0");
    return Played.play();
  } catch (const std::exception &Error) {
    printf("can't run: %s\n", Error.what());
    return 2;
  }
}
