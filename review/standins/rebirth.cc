// A backend falls silent with requests running and starts again, under the
// instance_id that it had, at another port; some clients leave before their
// deadline. Arguments: the folder for record.txt.
#include "kit.hh"

using namespace review;

namespace {

constexpr int Rounds = 6;
constexpr int Slots = 4;
constexpr int AtOnce = 2; ///< Requests at once; half of the slots.
/// Within it, hosts know of the new start: they watch every 0.7 s.
constexpr int NoticeMillis = 900;
constexpr int DeadlineMillis = 2000; // Also the route's timeout.
constexpr int GiveUpMillis = 1700;
constexpr int WorkMillis = 78;
constexpr int WaitMillis = 6000;
/// RULES.md: eight or more have no final answer 0.5 s after the timeout.
constexpr int LateMillis = DeadlineMillis + 500;
constexpr int MinUnanswered = 8;

std::string configurationOfRound() {
  std::string Text = configuration(1);
  const std::string From = "\"timeout\":\"3000ms\"";
  for (std::size_t At = 0; (At = Text.find(From, At)) != Text.npos;)
    Text.replace(At, From.size(),
                 "\"timeout\":\"" + std::to_string(DeadlineMillis) + "ms\"");
  return Text;
}

class Case {
public:
  Case(const std::string &Folder, bool Trouble)
      : m_log(Folder + "/record.txt"), m_trouble(Trouble) {}

  int play() {
    startBackend();
    m_system.put("op/config", configurationOfRound());
    m_system.startHost("host-1", "a");
    m_port = m_system.m_hosts["host-1"].m_callers;
    auto Serves = [&] { return send("p", 500).m_status == 200; };
    if (!waitUntil(Serves, 20'000))
      throw CannotRun("the deployment does not serve");
    for (int Round = 0; Round < Rounds; ++Round)
      playRound(Round);
    pauseFor(500);
    for (const std::string &Log : m_logs)
      copyLog(Log);
    m_log.line("of %d requests to the restarted backend, %d got an answer in "
               "time, %d none within %d ms",
               m_later.load(), m_answered.load(), m_unanswered.load(),
               LateMillis);
    printf("of %d requests to the restarted backend, %d got an answer in time, "
           "%d none within %d ms; %d others were as late\n",
           m_later.load(), m_answered.load(), m_unanswered.load(), LateMillis,
           m_othersLate.load());
    if (m_later == 0)
      throw CannotRun("the restarted backend was not used");
    // Over a quarter of those that last longer than the route's timeout.
    bool Many = m_unanswered >= MinUnanswered &&
                m_unanswered * 4 > m_unanswered + m_othersLate;
    return Many ? 1 : 0;
  }

private:
  /// Starts a process of the one backend, at a port of its own.
  void startBackend() {
    std::string Name = "fee-a." + std::to_string(m_processes.size());
    std::vector<std::string> Words = {
        "--id", "fee-a", "--service", "fee", "--domain", "a", "--store",
        "127.0.0.1:" + std::to_string(m_system.m_storePort), "--log",
        m_system.file(Name + ".runs"), "--work",
        std::to_string(WorkMillis) + "ms", "--slots", std::to_string(Slots),
        "--port-file", m_system.file(Name + ".ports")};
    m_processes.push_back(std::make_unique<Process>(
        Deployment::program("burdockpulley-kv-upstream-standin"), Words,
        m_system.file(Name + ".log")));
    m_logs.push_back(Name);
    int Port = readPorts(m_system.file(Name + ".ports"), 1)[0];
    m_log.line("backend fee-a starts at port %d", Port);
  }

  Answer send(const std::string &Id, int TimeoutMillis) {
    std::string Whole = Id + "-" + std::to_string(++m_numbers);
    std::int64_t Began = nowMicros();
    Answer Result =
        call(m_port, "POST", "/fee/x", clientHeaders(Whole, -1, DeadlineMillis),
             "body", TimeoutMillis);
    m_log.lineAt(Began, "client sends %s", Whole.c_str());
    if (Result.m_status != 0)
      m_log.line("client %s: %d after %lld ms", Whole.c_str(), Result.m_status,
                 static_cast<long long>((nowMicros() - Began) / 1000));
    else
      m_log.line("client %s: no answer, leaves after %lld ms", Whole.c_str(),
                 static_cast<long long>((nowMicros() - Began) / 1000));
    return Result;
  }

  std::size_t runs(const std::string &Log) const {
    std::ifstream Input(m_system.file(Log + ".runs"));
    std::size_t Count = 0;
    for (std::string Line; std::getline(Input, Line);)
      Count += Line.starts_with("run ");
    return Count;
  }

  /// Sends several requests at once. Returns the number of answers 200.
  int sendSeveral(const std::string &Id, int Count) {
    std::atomic<int> Served = 0;
    std::vector<std::thread> Threads;
    for (int I = 0; I < Count; ++I)
      Threads.emplace_back(
          [&] { Served += send(Id, DeadlineMillis).m_status == 200; });
    for (std::thread &Thread : Threads)
      Thread.join();
    return Served;
  }

  /// Sends a request without waiting for its answer. Returns the socket.
  int open(const std::string &Id) {
    std::string Whole = Id + "-" + std::to_string(++m_numbers);
    int Socket = connectTo(m_port);
    std::string Text = encodeRequest(
        "POST", "/fee/x", clientHeaders(Whole, -1, DeadlineMillis), "body");
    if (Socket < 0 || ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) !=
                          static_cast<ssize_t>(Text.size()))
      throw CannotRun("a client can't send");
    m_log.line("client sends %s", Whole.c_str());
    return Socket;
  }

  void awaitRuns(std::size_t Count) {
    if (!waitUntil([&] { return runs(m_logs.back()) >= Count; }, 2000, 2))
      throw CannotRun("the backend doesn't run what was sent");
  }

  void playRound(int Round) {
    std::string Tag = std::to_string(Round);
    std::size_t Had = runs(m_logs.back());
    std::int64_t Began = nowMicros();
    std::vector<int> Leaving;
    for (int I = 0; I < AtOnce; ++I)
      Leaving.push_back(open("running-" + Tag));
    awaitRuns(Had + AtOnce);
    if (m_trouble) {
      m_processes.back()->signal(SIGSTOP);
      m_log.line("backend fee-a falls silent");
      startBackend();
      pauseFor(NoticeMillis);
      // As many requests as the old process had had before.
      for (std::size_t Sent = 0; Sent < Had;) {
        int Count = static_cast<int>(std::min<std::size_t>(AtOnce, Had - Sent));
        sendSeveral("early-" + Tag, Count);
        Sent = runs(m_logs.back());
        if (nowMicros() - Began > GiveUpMillis * 1000LL)
          throw CannotRun("the machine is too slow");
      }
    }
    std::size_t Before = runs(m_logs.back());
    std::vector<std::thread> Later;
    for (int I = 0; I < AtOnce; ++I)
      Later.emplace_back([this, Tag] {
        std::int64_t Sent = nowMicros();
        Answer Result = send("later-" + Tag, WaitMillis);
        bool Late = nowMicros() - Sent > LateMillis * 1000LL;
        ++m_later;
        m_answered += !Late;
        m_unanswered += Late && Result.m_status == 0;
        m_othersLate += Late && Result.m_status != 0;
      });
    awaitRuns(Before + AtOnce);
    for (int Socket : Leaving)
      close(Socket);
    m_log.line("the clients of round %d's first requests leave after %lld ms",
               Round, static_cast<long long>((nowMicros() - Began) / 1000));
    for (std::thread &Thread : Later)
      Thread.join();
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
  std::vector<std::string> m_logs;
  int m_port = 0;
  std::atomic<int> m_numbers{0};
  std::atomic<int> m_later{0};
  std::atomic<int> m_answered{0};
  std::atomic<int> m_unanswered{0};
  std::atomic<int> m_othersLate{0};
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
