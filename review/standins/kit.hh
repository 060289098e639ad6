// Helpers of the review's scripts: processes, blocking HTTP/1.1 calls, the
// deployment of a script and its record. Loopback addresses only.
#ifndef REVIEW_KIT_HH
#define REVIEW_KIT_HH

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Microseconds of the boot clock, as in the logs of the backend stand-ins.
inline std::int64_t nowMicros() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return Now.tv_sec * 1'000'000LL + Now.tv_nsec / 1000;
}

inline void pauseFor(int Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

/// Thrown when a case can't run; the script then exits with 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// record.txt: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path)
      : m_file(fopen(Path.c_str(), "w")), m_start(nowMicros()) {
    if (!m_file)
      throw CannotRun("cannot write " + Path);
  }
  ~Record() { fclose(m_file); }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  /// Writes a line with the seconds since the start.
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    va_list Arguments;
    va_start(Arguments, Format);
    writeAt(nowMicros(), Format, Arguments);
    va_end(Arguments);
  }
  /// The same, for something that happened at \p Micros.
  void lineAt(std::int64_t Micros, const char *Format, ...)
      __attribute__((format(printf, 3, 4))) {
    va_list Arguments;
    va_start(Arguments, Format);
    writeAt(Micros, Format, Arguments);
    va_end(Arguments);
  }
  double seconds(std::int64_t Micros) const {
    return static_cast<double>(Micros - m_start) / 1e6;
  }

private:
  void writeAt(std::int64_t Micros, const char *Format, va_list Arguments) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    fprintf(m_file, "%9.3f  ", seconds(Micros));
    vfprintf(m_file, Format, Arguments);
    fputc('\n', m_file);
    fflush(m_file);
  }

  FILE *m_file;
  std::int64_t m_start;
  std::mutex m_mutex;
};

/// A process that the script has started; killed at the end.
class Process {
public:
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &Log) {
    std::vector<char *> Words;
    std::string Path = Program;
    Words.push_back(Path.data());
    for (std::string &Argument : Arguments)
      Words.push_back(Argument.data());
    Words.push_back(nullptr);
    m_pid = fork();
    if (m_pid < 0)
      throw CannotRun("cannot fork");
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, STDOUT_FILENO);
      dup2(Out, STDERR_FILENO);
      execv(Path.c_str(), Words.data());
      _exit(127);
    }
  }
  ~Process() { end(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) {
    if (running())
      kill(m_pid, Number);
  }
  bool running() {
    if (!m_ended && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
      m_ended = true;
    return !m_ended;
  }
  /// The wait status, once the process has ended.
  int status() const { return m_status; }
  void end() {
    if (!running())
      return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, &m_status, 0);
    m_ended = true;
  }
  pid_t pid() const { return m_pid; }

private:
  pid_t m_pid = -1;
  int m_status = 0;
  bool m_ended = false;
};

/// Waits for the ports that a program writes into a file.
inline std::vector<int> readPorts(const std::string &Path, std::size_t Count) {
  for (int Try = 0; Try < 1000; ++Try) {
    std::ifstream Input(Path);
    std::vector<int> Ports;
    for (int Port = 0; Input >> Port;)
      Ports.push_back(Port);
    if (Ports.size() >= Count)
      return Ports;
    pauseFor(10);
  }
  throw CannotRun("no ports in " + Path);
}

/// An answer; the status is 0 if there was none.
struct Answer {
  int m_status = 0;
  std::string m_head;
  std::string m_body;

  std::string header(const std::string &Name) const {
    std::istringstream Lines(m_head);
    for (std::string Line; std::getline(Lines, Line);) {
      auto Colon = Line.find(':');
      if (Colon == Line.npos ||
          strcasecmp(Line.substr(0, Colon).c_str(), Name.c_str()) != 0)
        continue;
      std::string Value = Line.substr(Colon + 1);
      while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
        Value.pop_back();
      return Value.substr(std::min(Value.find_first_not_of(' '), Value.size()));
    }
    return "";
  }
};

inline int connectTo(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    close(Socket);
    return -1;
  }
  int Enabled = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  return Socket;
}

inline std::string encodeRequest(const std::string &Method,
                                 const std::string &Target,
                                 const Headers &Fields,
                                 const std::string &Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

/// Reads one answer with a Content-Length from a connection.
inline Answer readAnswer(int Socket, std::string &Buffer, int TimeoutMillis) {
  std::int64_t Until = nowMicros() + TimeoutMillis * 1000LL;
  Answer Result;
  for (;;) {
    auto HeadEnd = Buffer.find("\r\n\r\n");
    if (HeadEnd != Buffer.npos) {
      Result.m_head = Buffer.substr(0, HeadEnd + 2);
      std::size_t Length = static_cast<std::size_t>(
          std::atoll(Result.header("Content-Length").c_str()));
      if (Buffer.size() >= HeadEnd + 4 + Length) {
        Result.m_status = std::atoi(Buffer.c_str() + 9);
        Result.m_body = Buffer.substr(HeadEnd + 4, Length);
        Buffer.erase(0, HeadEnd + 4 + Length);
        return Result;
      }
    }
    int Left = static_cast<int>((Until - nowMicros()) / 1000);
    pollfd Event{Socket, POLLIN, 0};
    if (Left <= 0 || poll(&Event, 1, Left) <= 0)
      return Answer();
    char Bytes[65536];
    ssize_t Size = recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Size <= 0)
      return Answer();
    Buffer.append(Bytes, static_cast<std::size_t>(Size));
  }
}

/// One call over a connection of its own.
inline Answer call(int Port, const std::string &Method,
                   const std::string &Target, const Headers &Fields = {},
                   const std::string &Body = "", int TimeoutMillis = 3000) {
  int Socket = connectTo(Port);
  if (Socket < 0)
    return Answer();
  Headers All = Fields;
  All.push_back({"Connection", "close"});
  std::string Text = encodeRequest(Method, Target, All, Body);
  Answer Result;
  if (send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) ==
      static_cast<ssize_t>(Text.size())) {
    std::string Buffer;
    Result = readAnswer(Socket, Buffer, TimeoutMillis);
  }
  close(Socket);
  return Result;
}

inline bool waitUntil(const std::function<bool()> &Holds, int LimitMillis,
                      int StepMillis = 50) {
  std::int64_t Until = nowMicros() + LimitMillis * 1000LL;
  while (!Holds()) {
    if (nowMicros() > Until)
      return false;
    pauseFor(StepMillis);
  }
  return true;
}

/// Entry hosts with the flags of the deploy file, backends and the store.
class Deployment {
public:
  struct Host {
    std::string m_domain;
    int m_callers = 0;
    int m_ready = 0;
    int m_metrics = 0;
    std::unique_ptr<Process> m_process;
  };
  struct Backend {
    int m_port = 0;
    std::vector<std::string> m_arguments;
    std::unique_ptr<Process> m_process;
    /// When its processes ended.
    std::vector<std::int64_t> m_ends;
  };

  explicit Deployment(std::vector<std::string> StoreArguments = {}) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(Pattern.data()))
      throw CannotRun("no temporary folder");
    m_folder = Pattern;
    StoreArguments.insert(StoreArguments.end(),
                          {"--port-file", file("store.ports")});
    m_store = std::make_unique<Process>(program("review-store"),
                                        StoreArguments, file("store.log"));
    m_storePort = readPorts(file("store.ports"), 1)[0];
    m_storeForHosts = m_storePort;
  }
  ~Deployment() {
    m_hosts.clear();
    m_backends.clear();
    m_store.reset();
    if (!getenv("REVIEW_KEEP_LOGS"))
      std::filesystem::remove_all(m_folder);
    else
      fprintf(stderr, "logs: %s\n", m_folder.c_str());
  }

  static std::string program(const std::string &Name) {
    const char *Folder = getenv("REVIEW_BIN");
    return std::string(Folder ? Folder : "target/review") + "/" + Name;
  }
  std::string file(const std::string &Name) const {
    return m_folder + "/" + Name;
  }

  /// Starts an entry host with the command of the deploy file.
  void startHost(const std::string &Name, const std::string &Domain) {
    Host &Started = m_hosts[Name];
    Started.m_process.reset();
    Started.m_domain = Domain;
    std::string Ports = file(Name + ".ports");
    std::filesystem::remove(Ports);
    auto Address = [](int Port) {
      return "127.0.0.1:" + std::to_string(Port);
    };
    std::vector<std::string> Words = {
        "registry", "--host", Name, "--failure-domain", Domain, "--listen",
        Address(Started.m_callers), "--ready-listen", Address(Started.m_ready),
        "--peer-listen", Address(0), "--forward-listen", Address(0),
        "--metrics-listen", Address(Started.m_metrics), "--store",
        Address(m_storeForHosts), "--descriptors", "4100", "--link-megabits",
        "1000.0", "--memory-megabytes", "260", "--drain", "2000ms",
        "--stop-time", "6s", "--max-hold", "10000ms", "--retry-ratio", "0.2",
        "--retry-window", "10s", "--retry-allowance", "60", "--quota-window=",
        "--quota-overage=", "--quota-slack=", "--reserve-slots",
        "--cold-overage=1.5", "--cold-slack=5", "--port-file", Ports};
    Started.m_process = std::make_unique<Process>(program("burdockpulleyd"),
                                                  Words, file(Name + ".log"));
    auto Bound = readPorts(Ports, 4);
    Started.m_callers = Bound[0];
    Started.m_ready = Bound[1];
    Started.m_metrics = Bound[3];
  }

  /// Starts a backend stand-in of the project.
  void startBackend(const std::string &Id, const std::string &Service,
                    const std::string &Domain, const std::string &Work,
                    std::vector<std::string> More = {}) {
    Backend &Started = m_backends[Id];
    Started.m_process.reset();
    std::filesystem::remove(file(Id + ".ports"));
    std::vector<std::string> Words = {
        "--id", Id, "--service", Service, "--domain", Domain, "--store",
        "127.0.0.1:" + std::to_string(m_storePort), "--log",
        file(Id + ".runs"), "--work", Work, "--port-file",
        file(Id + ".ports")};
    Words.insert(Words.end(), More.begin(), More.end());
    Started.m_process = std::make_unique<Process>(
        program("burdockpulley-kv-upstream-standin"), Words,
        file(Id + ".log"));
    Started.m_port = readPorts(file(Id + ".ports"), 1)[0];
  }

  void put(const std::string &Key, const std::string &Value) {
    control("put?key=" + Key, Value);
  }
  void control(const std::string &What, const std::string &Body = "") {
    if (call(m_storePort, "POST", "/standin/" + What, {}, Body).m_status != 200)
      throw CannotRun("the store stand-in did not take " + What);
  }

  std::map<std::string, Host> m_hosts;
  std::map<std::string, Backend> m_backends;
  std::unique_ptr<Process> m_store;
  int m_storePort = 0;
  int m_storeForHosts = 0; ///< That of a proxy, if there is one.
  std::string m_folder;
};

/// The operator's configuration: "fee" without keys (/fee/ unsafe, /idem/
/// safe), "herd" divided by key (/herd/ safe, /herd/change/ unsafe).
inline std::string configuration(int Version) {
  char Text[16];
  snprintf(Text, sizeof(Text), "%08x", Version);
  auto Route = [](const char *Name, const char *Prefix, const char *Kind,
                  const char *Service) {
    return std::string("{\"name\":\"") + Name + "\",\"path_prefix\":\"" +
           Prefix + "\",\"kind\":\"" + Kind +
           "\",\"timeout\":\"3000ms\",\"priority\":1,\"target_latency\":"
           "\"300ms\",\"service\":\"" +
           Service + "\",\"max_attempts\":2}";
  };
  return std::string("{\"version\":\"") + Text +
         "\",\"services\":[{\"name\":\"fee\",\"cold_start\":\"1s\","
         "\"cold_per_s\":50.0,\"health_check_path\":\"/health\","
         "\"connection_limit\":120},{\"name\":\"herd\",\"cold_start\":\"1s\","
         "\"cold_per_s\":50.0,\"sharded\":true,\"warmup\":\"1s\","
         "\"health_check_path\":\"/health\",\"connection_limit\":120}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
         "\"hosts\":[{\"host\":\"x.example\",\"paths\":[" +
         Route("fee", "/fee/", "unsafe", "fee") + "," +
         Route("idem", "/idem/", "safe", "fee") + "," +
         Route("herd", "/herd/", "safe", "herd") + "," +
         Route("herd-change", "/herd/change/", "unsafe", "herd") + "]}]}";
}

/// A request of a client.
inline Headers clientHeaders(const std::string &Id, int Key = -1,
                             int DeadlineMillis = 2000) {
  Headers Fields = {{"Host", "x.example"},
                    {"Request-Id", Id},
                    {"Deadline-Milliseconds", std::to_string(DeadlineMillis)}};
  if (Key >= 0)
    Fields.push_back({"Shard-Key", std::to_string(Key)});
  return Fields;
}

/// One line of a backend's log: run, done, hold, release.
struct BackendEvent {
  std::string m_kind;
  std::string m_backend;
  std::string m_request;
  unsigned m_first = 0;
  unsigned m_last = 0;
  std::uint64_t m_token = 0;
  std::int64_t m_at = 0;
  std::int64_t m_until = 0;
};

inline std::vector<BackendEvent> readEvents(const Deployment &System) {
  std::vector<BackendEvent> Events;
  for (const auto &[Id, Of] : System.m_backends) {
    std::ifstream Input(System.file(Id + ".runs"));
    for (std::string Line; std::getline(Input, Line);) {
      std::istringstream Words(Line);
      BackendEvent Event;
      Event.m_backend = Id;
      Words >> Event.m_kind;
      if (Event.m_kind == "hold")
        Words >> Event.m_first >> Event.m_last >> Event.m_token >>
            Event.m_at >> Event.m_until;
      else if (Event.m_kind == "release")
        Words >> Event.m_first >> Event.m_last >> Event.m_at;
      else {
        Words >> Event.m_request >> Event.m_first >> Event.m_at;
        Event.m_last = Event.m_first;
      }
      if (Words)
        Events.push_back(Event);
    }
  }
  std::stable_sort(Events.begin(), Events.end(),
                   [](const BackendEvent &Left, const BackendEvent &Right) {
                     return Left.m_at < Right.m_at;
                   });
  return Events;
}

} // namespace review

#endif
