// Clients on kept connections read large answers steadily, but for longer than
// the configuration's idle_timeout.
#include "case.hh"

using namespace review;

namespace {

constexpr int Clients = 5; // The rule allows three.
constexpr std::size_t AnswerBytes = 16 << 20;
constexpr std::size_t BytesPerSecond = 500 << 10; // A link of 4 Mbit/s.
constexpr int DeadlineMs = 60000;

struct Download {
  std::string m_id;
  std::size_t m_received = 0; ///< Of the body.
  bool m_complete = false;
  bool m_closed = false; ///< By the machine.
  int m_status = 0;
  long long m_longestPause = 0; ///< Of the client, between two reads.
  long long m_spent = 0;
};

/// Sends a small request and then the large one, on one connection.
Download download(const Machine &At, int Number) {
  Download Result;
  Result.m_id = "d-" + std::to_string(Number);
  int Socket = connectTo(At.m_callers, 1000);
  int Window = 64 << 10;
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Window, sizeof(Window));
  auto Fields = [&](const std::string &Id) {
    return Headers{{"Host", "x.example"},
                   {"Request-Id", Id},
                   {"Deadline-Milliseconds", std::to_string(DeadlineMs)}};
  };
  sendAll(Socket, encode("GET", "/look/1", Fields(Result.m_id + "-first"), ""),
          1000);
  Reply First;
  readReply(Socket, First, nowMs() + 5000);
  record().line("%s-first GET: %d", Result.m_id.c_str(), First.m_status);
  sendAll(Socket,
          encode("GET", "/export/" + std::to_string(AnswerBytes),
                 Fields(Result.m_id), ""),
          1000);
  long long Began = nowMs();
  long long LastRead = Began;
  std::size_t Rate = trouble() ? BytesPerSecond : 200 << 20;
  std::string Head;
  std::size_t Received = 0, HeadBytes = 0, Length = 0;
  std::vector<char> Bytes(256 << 10);
  while (nowMs() - Began < DeadlineMs) {
    auto Allowed = static_cast<std::size_t>(
        static_cast<double>(nowMs() - Began) / 1000 * static_cast<double>(Rate));
    if (Received >= Allowed) {
      sleepMs(10);
      continue;
    }
    ssize_t Size = recv(Socket, Bytes.data(),
                        std::min(Bytes.size(), Allowed - Received), MSG_DONTWAIT);
    if (Size < 0 && errno == EAGAIN) {
      sleepMs(5);
      continue;
    }
    if (Size <= 0) {
      Result.m_closed = true;
      break;
    }
    Result.m_longestPause = std::max(Result.m_longestPause, nowMs() - LastRead);
    LastRead = nowMs();
    Received += static_cast<std::size_t>(Size);
    if (HeadBytes == 0) {
      Head.append(Bytes.data(), static_cast<std::size_t>(Size));
      std::size_t End = Head.find("\r\n\r\n");
      if (End == std::string::npos)
        continue;
      HeadBytes = End + 4;
      Reply Parsed;
      Parsed.m_head = Head.substr(0, End + 2);
      Length = std::stoul("0" + Parsed.header("Content-Length"));
      Result.m_status = atoi(Head.c_str() + 9);
    }
    if (HeadBytes > 0 && Received >= HeadBytes + Length) {
      Result.m_complete = true;
      break;
    }
  }
  Result.m_received = Received - HeadBytes;
  Result.m_spent = nowMs() - Began;
  close(Socket);
  return Result;
}

} // namespace

int main(int, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string Folder = Arguments[1];
  record().open(Folder + "/record.txt");
  Deployment System{Arguments[2]};
  System.startStore();
  std::string RunLog = System.file("runs");
  for (int I = 0; I < 4; ++I) {
    BackendOptions Options;
    Options.m_id = "i-" + std::to_string(I + 1);
    Options.m_service = "archive";
    Options.m_zone = I % 2 ? "b" : "a";
    Options.m_store = System.m_store;
    Options.m_address = freeAddress("127.0.0.1");
    Options.m_log = RunLog;
    System.m_processes.fork([&] { BackendServer(Options).run(); });
  }
  System.put("op/config",
             configuration("00000001", {"archive"},
                           {{"export", "/export/", "download", "archive",
                             DeadlineMs},
                            {"look", "/look/", "safe", "archive", 3000}}));
  for (int I = 0; I < 2; ++I)
    System.startMachine(
        System.addMachine("m" + std::to_string(I + 1), I % 2 ? "b" : "a"));
  System.waitUntilReady();
  sleepMs(4000); // Machines and the store are calm for the stability window.
  const Machine &At = System.m_machines["m1"];

  std::vector<Download> Results(Clients);
  std::vector<std::thread> Threads;
  for (int I = 0; I < Clients; ++I) {
    Threads.emplace_back(
        [&, I] { Results[static_cast<std::size_t>(I)] = download(At, I); });
    sleepMs(700);
  }
  for (std::thread &Each : Threads)
    Each.join();

  std::ifstream Log(RunLog);
  std::string Runs((std::istreambuf_iterator<char>(Log)), {});
  int Cut = 0, Complete = 0;
  for (const Download &Each : Results) {
    bool Ran = Runs.find(" run " + Each.m_id + " ") != std::string::npos;
    Complete += Each.m_complete;
    // The client was there: it had read less than a second before.
    bool Counts = Ran && Each.m_closed && !Each.m_complete &&
                  Each.m_longestPause < 1000 && Each.m_spent < DeadlineMs;
    Cut += Counts;
    record().line("%s: status %d, %zu of %zu bytes in %lld ms, %s; run by a "
                  "backend: %s; longest pause between two reads %lld ms",
                  Each.m_id.c_str(), Each.m_status, Each.m_received, AnswerBytes,
                  Each.m_spent,
                  Each.m_complete ? "complete"
                  : Each.m_closed ? "CUT OFF by the machine"
                                  : "not complete",
                  Ran ? "yes" : "no", Each.m_longestPause);
  }
  record().line("complete %d, cut off %d; the rule allows 3", Complete, Cut);
  if (Cut + Complete < Clients)
    return CannotRun;
  bool IsBroken = Cut > 3;
  record().line(IsBroken ? "BROKEN" : "held");
  return IsBroken ? Broken : Held;
}
