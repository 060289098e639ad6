// A zone is evacuated, taken back, and evacuated again. Its backend repeats one
// answer to a grant in the place of the next one, and carries that grant out late.
// Arguments: the folder for record.txt.
#include "owner_check.hh"

using namespace review;

namespace {

int play(const std::string &Folder, bool Trouble) {
  // For comparison: HALF=-extra, HALF=-late. Empty for both.
  const char *Half = getenv("HALF") ? getenv("HALF") : "";
  Record Log(Folder + "/record.txt");
  Deployment System;
  auto StartBackend = [&](const std::string &Id, const std::string &Zone) {
    Deployment::Backend &Started = System.m_backends[Id];
    Started.m_process = std::make_unique<Process>(
        Deployment::program("review-backend"),
        std::vector<std::string>{Id, "herd", Zone,
                                 std::to_string(System.m_storePort),
                                 System.file(Id + ".runs"),
                                 System.file(Id + ".ports"), "5"},
        System.file(Id + ".log"));
    Started.m_port = readPorts(System.file(Id + ".ports"), 1)[0];
  };
  for (const char *Id : {"herd-a", "herd-b"})
    StartBackend(Id, "a");
  for (const char *Id : {"herd-c", "herd-d"})
    StartBackend(Id, "b");
  System.put("op/config", configuration(1));
  System.startHost("host-1", "a");
  System.startHost("host-2", "b");
  System.startHost("host-3", "c");
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
  std::atomic<bool> Stop = false;
  std::vector<std::thread> Clients;
  for (int Client = 0; Client < 6; ++Client)
    Clients.emplace_back([&, Client] {
      std::mt19937 Random(static_cast<unsigned>(Client) + 1);
      std::vector<int> Ports;
      for (const auto &[Name, Host] : System.m_hosts)
        Ports.push_back(Host.m_callers);
      for (int Number = 0; !Stop; ++Number) {
        std::string Id =
            "c" + std::to_string(Client) + "-" + std::to_string(Number);
        int Key = static_cast<int>(Random() % 65536);
        bool Unsafe = Random() % 2;
        Answer Result =
            call(Ports[Random() % Ports.size()], Unsafe ? "POST" : "GET",
                 Unsafe ? "/herd/change/x" : "/herd/x", clientHeaders(Id, Key),
                 Unsafe ? "body" : "");
        Log.line("client  %s key %d: %d", Id.c_str(), Key, Result.m_status);
        pauseFor(10);
      }
    });
  pauseFor(1000);
  StartBackend("herd-e", "c");
  Log.line("backend herd-e is added, in zone c");
  auto Holds = [&] {
    std::ifstream Input(System.file("herd-e.runs"));
    int Count = 0;
    for (std::string Line; std::getline(Input, Line);)
      Count += Line.starts_with("hold") || Line.starts_with("unanswered");
    return Count;
  };
  auto Stopped = [&](const char *Why) {
    Stop = true;
    for (std::thread &Thread : Clients)
      Thread.join();
    return CannotRun(Why);
  };
  if (!waitUntil([&] { return Holds() > 0; }, 15'000))
    throw Stopped("herd-e gets no keys");
  pauseFor(6000);
  System.put("op/evacuate/c", "{}");
  Log.line("zone c is evacuated");
  pauseFor(3000);
  if (Trouble && call(System.m_backends["herd-e"].m_port, "POST",
                      std::string("/standin/arm") + Half)
                         .m_status != 200)
    throw Stopped("the backend cannot be armed");
  int Before = Holds();
  System.control("delete?key=op/evacuate/c");
  Log.line("zone c is taken back");
  if (!waitUntil([&] { return Holds() > Before; }, 15'000, 5))
    throw Stopped("herd-e gets no keys again");
  System.put("op/evacuate/c", "{}");
  Log.line("zone c is evacuated again");
  pauseFor(6000);
  System.control("delete?key=op/evacuate/c");
  Log.line("zone c is taken back");
  pauseFor(15'000);
  Stop = true;
  for (std::thread &Thread : Clients)
    Thread.join();
  auto Events = readEvents(System);
  int Answers = 0;
  for (const BackendEvent &Event : Events) {
    Answers += Event.m_backend == "herd-e" && Event.m_kind != "run";
    if (Event.m_kind == "hold")
      Log.lineAt(Event.m_at,
                 "backend %s holds keys %u to %u until %.3f, token %llu",
                 Event.m_backend.c_str(), Event.m_first, Event.m_last,
                 Log.seconds(Event.m_until),
                 static_cast<unsigned long long>(Event.m_token));
    else if (Event.m_kind == "release")
      Log.lineAt(Event.m_at, "backend %s releases keys %u to %u",
                 Event.m_backend.c_str(), Event.m_first, Event.m_last);
    else if (Event.m_kind == "run" || Event.m_kind == "done")
      Log.lineAt(Event.m_at, "backend %s %s %s key %u",
                 Event.m_backend.c_str(), Event.m_kind.c_str(),
                 Event.m_request.c_str(), Event.m_first);
  }
  std::ifstream Input(System.file("herd-e.runs"));
  for (std::string Line; std::getline(Input, Line);)
    if (Line.starts_with("unanswered")) {
      std::istringstream Words(Line);
      std::string Kind;
      unsigned First = 0;
      unsigned Last = 0;
      unsigned long long Token = 0;
      std::int64_t At = 0;
      Words >> Kind >> First >> Last >> Token >> At;
      Log.lineAt(At,
                 "backend herd-e misbehaves (%s) at the grant of keys %u to %u, "
                 "token %llu",
                 *Half ? Half + 1 : "extra answer, late grant", First, Last, Token);
    }
  Log.line("herd-e gave %d answers", Answers);
  auto Breaks = findOwnerBreaks(System, Events, Log);
  // Grants that are taken late don't count for the time that both hold.
  bool Broken = false;
  for (const std::string &Break : Breaks) {
    Broken |= !Break.starts_with("OWNER (over half");
    Log.line("%s", Break.c_str());
    printf("%s\n", Break.c_str());
  }
  printf("herd-e gave %d answers\n", Answers);
  return Broken ? 1 : 0;
}

} // namespace

int main(int, char **Arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = getenv("TROUBLE");
  try {
    return play(Arguments[1], !Trouble || std::string(Trouble) != "0");
  } catch (const std::exception &Error) {
    printf("can't run: %s\n", Error.what());
    return 2;
  }
}
