// Clients that the operators do not control send requests that are legal in
// size but made of very many short fields, beside ordinary clients.
// Arguments: the folder for record.txt.
#include "kit.hh"

using namespace review;

namespace {

constexpr int MaxHeaderBytes = 16384; // As in configuration().
constexpr int FieldClients = 100;
constexpr int FieldPauseMillis = 250;
constexpr int OrdinaryClients = 8;
constexpr int DeadlineMillis = 1500;
constexpr int CalmMillis = 5000;
constexpr int TroubleMillis = 25'000;

/// A request within max_header_bytes: a Connection header that lists options of
/// one letter, and empty fields with a name of one letter. LIST=0 leaves the
/// list out, for comparison: the request has as many bytes, in more fields.
std::string manyShortFields(const std::string &Id) {
  static const bool WithList =
      !getenv("LIST") || std::string(getenv("LIST")) != "0";
  const int ListBytes = WithList ? 8000 : 0;
  /// The host counts five bytes for a field of four.
  constexpr int FieldBytes = 5;
  constexpr int Reserve = 100;
  std::string Text = "GET /idem/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: " +
                     Id + "\r\nDeadline-Milliseconds: 1500\r\nConnection: ";
  for (int Bytes = 0; Bytes < ListBytes; Bytes += 2)
    Text += "b,";
  Text += "close\r\n";
  int Left = MaxHeaderBytes - static_cast<int>(Text.size()) - Reserve;
  for (; Left > FieldBytes; Left -= FieldBytes)
    Text += "a:\r\n";
  return Text + "\r\n";
}

enum class Phase { Calm, Trouble, After };

struct Counts {
  std::atomic<int> m_sent{0};
  std::atomic<int> m_served{0};
};

int play(const std::string &Folder, bool Trouble) {
  Record Log(Folder + "/record.txt");
  Deployment System;
  // As the service cobros of austral-gw: 7 backends with 4 slots, 78 ms.
  for (int Number = 1; Number <= 7; ++Number)
    System.startBackend("fee-" + std::to_string(Number), "fee", "a", "78ms");
  System.put("op/config", configuration(1));
  System.startHost("host-1", "a");
  Deployment::Host &Host = System.m_hosts["host-1"];
  int Probes = 0;
  auto Serves = [&] {
    return call(Host.m_callers, "GET", "/idem/p",
                clientHeaders("p" + std::to_string(++Probes)))
               .m_status == 200;
  };
  if (!waitUntil(Serves, 20'000))
    throw CannotRun("the deployment does not serve");
  pauseFor(2000);

  std::atomic<Phase> Now = Phase::Calm;
  std::atomic<bool> Stop = false;
  Counts Ordinary[3];
  std::vector<std::thread> Threads;
  for (int Client = 0; Client < OrdinaryClients; ++Client)
    Threads.emplace_back([&, Client] {
      for (int Number = 0; !Stop; ++Number) {
        std::string Id =
            "o" + std::to_string(Client) + "-" + std::to_string(Number);
        bool Unsafe = Number % 2;
        auto Of = static_cast<int>(Now.load());
        std::int64_t Began = nowMicros();
        Answer Result = call(Host.m_callers, Unsafe ? "POST" : "GET",
                             Unsafe ? "/fee/x" : "/idem/x",
                             clientHeaders(Id, -1, DeadlineMillis),
                             Unsafe ? "body" : "", DeadlineMillis);
        Log.line("ordinary client %s %s: %d after %lld ms", Id.c_str(),
                 Unsafe ? "/fee/x" : "/idem/x", Result.m_status,
                 static_cast<long long>((nowMicros() - Began) / 1000));
        ++Ordinary[Of].m_sent;
        Ordinary[Of].m_served += Result.m_status == 200;
        pauseFor(100);
      }
    });
  // The platform asks each host once a second; two misses take it out.
  int MissesInRow = 0;
  int MostMisses = 0;
  Threads.emplace_back([&] {
    while (!Stop) {
      std::int64_t Began = nowMicros();
      Answer Result = call(Host.m_ready, "GET", "/readiness", {}, "", 1000);
      MissesInRow = Result.m_status == 200 ? 0 : MissesInRow + 1;
      MostMisses = std::max(MostMisses, MissesInRow);
      Log.line("readiness: %d after %lld ms", Result.m_status,
               static_cast<long long>((nowMicros() - Began) / 1000));
      auto Left = 1000 - (nowMicros() - Began) / 1000;
      pauseFor(std::max(0, static_cast<int>(Left)));
    }
  });
  pauseFor(CalmMillis);
  std::atomic<int> FieldRequests{0};
  std::vector<std::thread> Others;
  Now = Phase::Trouble;
  for (int Client = 0; Client < FieldClients; ++Client)
    Others.emplace_back([&, Client] {
      for (int Number = 0; Now == Phase::Trouble; ++Number) {
        std::string Id =
            "f" + std::to_string(Client) + "-" + std::to_string(Number);
        std::string Text =
            Trouble ? manyShortFields(Id)
                    : encodeRequest("GET", "/idem/x", clientHeaders(Id), "");
        int Socket = connectTo(Host.m_callers);
        if (Socket < 0)
          continue;
        (void)!send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
        std::string Buffer;
        Answer Result = readAnswer(Socket, Buffer, DeadlineMillis);
        close(Socket);
        ++FieldRequests;
        Log.line("%s %s, %zu bytes: %d",
                 Trouble ? "client with many fields" : "further client",
                 Id.c_str(), Text.size(), Result.m_status);
        pauseFor(FieldPauseMillis);
      }
    });
  pauseFor(TroubleMillis);
  Now = Phase::After;
  for (std::thread &Thread : Others)
    Thread.join();
  pauseFor(CalmMillis);
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  for (const BackendEvent &Event : readEvents(System))
    Log.lineAt(Event.m_at, "backend %s %s %s", Event.m_backend.c_str(),
               Event.m_kind.c_str(), Event.m_request.c_str());
  const char *Names[] = {"before", "during", "after"};
  for (int Of = 0; Of < 3; ++Of) {
    Log.line("ordinary requests %s: %d sent, %d served in time", Names[Of],
             Ordinary[Of].m_sent.load(), Ordinary[Of].m_served.load());
    printf("ordinary requests %s: %d sent, %d served in time\n", Names[Of],
           Ordinary[Of].m_sent.load(), Ordinary[Of].m_served.load());
  }
  Log.line("most misses of the readiness check in a row: %d; %d other requests",
           MostMisses, FieldRequests.load());
  printf("most misses of the readiness check in a row: %d; %d other requests\n",
         MostMisses, FieldRequests.load());
  bool Ended = !Host.m_process->running();
  // "Served" is used as in RULES.md: less than a quarter, though a quarter or
  // more was before.
  bool WasServed = Ordinary[0].m_served * 4 >= Ordinary[0].m_sent;
  if (!WasServed)
    throw CannotRun("ordinary clients are not served in calm");
  bool Hangs = MostMisses >= 2 &&
               Ordinary[1].m_served * 4 < Ordinary[1].m_sent;
  return Ended || Hangs ? 1 : 0;
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
