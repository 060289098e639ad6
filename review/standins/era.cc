// The store comes back from a copy some seconds old, after two backends were
// added.
// Arguments: the folder for record.txt, the number of the first era.
#include "owner_check.hh"

using namespace review;

namespace {

constexpr int Backends = 7;
constexpr int NewBackends = 2;

/// Clients that send keyed requests to all hosts, one after another.
class Clients {
public:
  Clients(Deployment &System, Record &Log) : m_system(System), m_log(Log) {
    for (int Client = 0; Client < 6; ++Client)
      m_threads.emplace_back([this, Client] { run(Client); });
  }
  ~Clients() { stop(); }
  void stop() {
    m_stop = true;
    for (std::thread &Thread : m_threads)
      Thread.join();
    m_threads.clear();
  }

private:
  void run(int Client) {
    std::mt19937 Random(static_cast<unsigned>(Client) + 1);
    std::vector<int> Ports;
    for (const auto &[Name, Host] : m_system.m_hosts)
      Ports.push_back(Host.m_callers);
    for (int Number = 0; !m_stop; ++Number) {
      std::string Id =
          "c" + std::to_string(Client) + "-" + std::to_string(Number);
      int Key = static_cast<int>(Random() % 65536);
      bool Unsafe = Random() % 2;
      std::string Path = Unsafe ? "/herd/change/x" : "/herd/x";
      Answer Result =
          call(Ports[Random() % Ports.size()], Unsafe ? "POST" : "GET", Path,
               clientHeaders(Id, Key), Unsafe ? "body" : "");
      m_log.line("client  %s %s key %d: %d", Id.c_str(), Path.c_str(), Key,
                 Result.m_status);
      pauseFor(10);
    }
  }

  Deployment &m_system;
  Record &m_log;
  std::atomic<bool> m_stop = false;
  std::vector<std::thread> m_threads;
};

int play(const std::string &Folder, const std::string &FirstEra,
         bool Trouble) {
  Record Log(Folder + "/record.txt");
  Deployment System({"--first-era", FirstEra});
  for (int Number = 1; Number <= Backends; ++Number)
    System.startBackend("herd-" + std::to_string(Number), "herd",
                        Number % 2 ? "a" : "b", "5ms", {"--keyed"});
  System.startBackend("fee-a", "fee", "a", "5ms");
  System.put("op/config", configuration(1));
  System.startHost("host-1", "a");
  System.startHost("host-2", "b");
  System.startHost("host-3", "b");
  int Probes = 0;
  auto Serves = [&] {
    for (const auto &[Name, Host] : System.m_hosts)
      for (int Key = 0; Key < 65536; Key += 8192)
        if (call(Host.m_callers, "GET", "/herd/p",
                 clientHeaders("p" + std::to_string(++Probes), Key))
                .m_status != 200)
          return false;
    return true;
  };
  if (!waitUntil(Serves, 30'000))
    throw CannotRun("the deployment does not serve");
  pauseFor(3000);
  Clients Senders(System, Log);
  pauseFor(2000);
  System.control("copy");
  Log.line("the store's copy is made");
  std::set<std::string> Added;
  for (int Number = Backends + 1; Number <= Backends + NewBackends; ++Number) {
    std::string Id = "herd-" + std::to_string(Number);
    System.startBackend(Id, "herd", Number % 2 ? "a" : "b", "5ms", {"--keyed"});
    Log.line("backend %s is added", Id.c_str());
    Added.insert(Id);
  }
  auto HoldKeys = [&] {
    std::set<std::string> Holders;
    for (const BackendEvent &Event : readEvents(System))
      if (Event.m_kind == "hold" && Added.count(Event.m_backend))
        Holders.insert(Event.m_backend);
    return Holders == Added;
  };
  if (!waitUntil(HoldKeys, 12'000))
    throw CannotRun("the added backends get no keys");
  pauseFor(2000);
  if (Trouble) {
    System.control("restore");
    System.put("op/config", configuration(1));
    Log.line("the store comes back from the copy");
  }
  pauseFor(15'000);
  Senders.stop();
  auto Events = readEvents(System);
  for (const BackendEvent &Event : Events)
    if (Event.m_kind == "hold")
      Log.lineAt(Event.m_at, "backend %s holds keys %u to %u, token %llu",
                 Event.m_backend.c_str(), Event.m_first, Event.m_last,
                 static_cast<unsigned long long>(Event.m_token));
    else if (Event.m_kind == "release")
      Log.lineAt(Event.m_at, "backend %s releases keys %u to %u",
                 Event.m_backend.c_str(), Event.m_first, Event.m_last);
    else
      Log.lineAt(Event.m_at, "backend %s %s %s key %u",
                 Event.m_backend.c_str(), Event.m_kind.c_str(),
                 Event.m_request.c_str(), Event.m_first);
  auto Breaks = findOwnerBreaks(System, Events, Log);
  for (const std::string &Break : Breaks) {
    Log.line("%s", Break.c_str());
    printf("%s\n", Break.c_str());
  }
  return Breaks.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = getenv("TROUBLE");
  try {
    return play(Arguments[1], Count > 2 ? Arguments[2] : "1",
                !Trouble || std::string(Trouble) != "0");
  } catch (const std::exception &Error) {
    printf("can't run: %s\n", Error.what());
    return 2;
  }
}
