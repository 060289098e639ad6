// Helpers of the cases of the second review: processes, blocking HTTP calls, a
// small deployment, and a record of what was sent, answered and run.
#ifndef REVIEW_CASE_HH
#define REVIEW_CASE_HH

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int CannotRun = 2;
constexpr int Broken = 1;
constexpr int Held = 0;

/// Milliseconds of the machine's steady clock, the same in all processes.
inline long long nowMs() {
  timespec Now{};
  clock_gettime(CLOCK_MONOTONIC, &Now);
  return Now.tv_sec * 1000LL + Now.tv_nsec / 1000000;
}

inline long long wallMs() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  return Now.tv_sec * 1000LL + Now.tv_nsec / 1000000;
}

inline void sleepMs(long long Millis) {
  timespec Time{Millis / 1000, (Millis % 1000) * 1000000};
  nanosleep(&Time, nullptr);
}

/// The record of a case. Lines of several threads do not mix.
class Record {
public:
  void open(const std::string &Path) {
    m_file = fopen(Path.c_str(), "w");
    m_began = nowMs();
  }
  /// Writes a line that begins with the time since open(), in ms.
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> Guard(m_mutex);
    va_list Arguments;
    va_start(Arguments, Format);
    fprintf(m_file, "%7lld ", nowMs() - m_began);
    vfprintf(m_file, Format, Arguments);
    fputc('\n', m_file);
    fflush(m_file);
    va_end(Arguments);
  }
  long long began() const { return m_began; }

private:
  FILE *m_file = nullptr;
  long long m_began = 0;
  std::mutex m_mutex;
};

inline Record &record() {
  static Record Only;
  return Only;
}

struct Address {
  std::string m_ip = "127.0.0.1";
  int m_port = 0;
  std::string text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in toSocket(const Address &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<uint16_t>(At.m_port));
  inet_pton(AF_INET, At.m_ip.c_str(), &Result.sin_addr);
  return Result;
}

/// The loopback address of this case's servers. Connections that other programs
/// open do not take its ports.
inline const std::string &serverIp() {
  static const std::string Ip = "127." + std::to_string(2 + getpid() % 200) +
                                "." + std::to_string(getpid() / 200 % 250) + ".1";
  return Ip;
}

/// Returns an address whose port was free a moment ago, for TCP and UDP.
inline Address freeAddress(const std::string &Ip = serverIp()) {
  for (int Try = 0; Try < 50; ++Try) {
    int Stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int Packet = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in Bound = toSocket({Ip, 0});
    socklen_t Size = sizeof(Bound);
    Address Found{Ip, 0};
    if (bind(Stream, reinterpret_cast<sockaddr *>(&Bound), Size) == 0 &&
        getsockname(Stream, reinterpret_cast<sockaddr *>(&Bound), &Size) == 0 &&
        bind(Packet, reinterpret_cast<sockaddr *>(&Bound), Size) == 0)
      Found.m_port = ntohs(Bound.sin_port);
    close(Stream);
    close(Packet);
    if (Found.m_port != 0)
      return Found;
  }
  fprintf(stderr, "no free port\n");
  _exit(CannotRun);
}

/// Connects within \p TimeoutMs; returns -1 if that fails.
inline int connectTo(const Address &Server, int TimeoutMs,
                     const std::string &Source = "") {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Socket < 0)
    return -1;
  if (!Source.empty()) {
    int Enabled = 1;
    setsockopt(Socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &Enabled,
               sizeof(Enabled));
    sockaddr_in Own = toSocket({Source, 0});
    (void)bind(Socket, reinterpret_cast<sockaddr *>(&Own), sizeof(Own));
  }
  int Enabled = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  sockaddr_in Target = toSocket(Server);
  int Error = 0;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Target), sizeof(Target)) !=
      0) {
    Error = errno;
    if (Error == EINPROGRESS) {
      pollfd Event{Socket, POLLOUT, 0};
      Error = ETIMEDOUT;
      if (poll(&Event, 1, TimeoutMs) == 1) {
        socklen_t Size = sizeof(Error);
        getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
      }
    }
  }
  if (Error == 0)
    return Socket;
  close(Socket);
  return -1;
}

inline bool sendAll(int Socket, const std::string &Bytes, int TimeoutMs) {
  std::size_t Sent = 0;
  long long Until = nowMs() + TimeoutMs;
  while (Sent < Bytes.size()) {
    ssize_t Size = send(Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Size > 0) {
      Sent += static_cast<std::size_t>(Size);
      continue;
    }
    long long Left = Until - nowMs();
    if (errno != EAGAIN || Left <= 0)
      return false;
    pollfd Event{Socket, POLLOUT, 0};
    poll(&Event, 1, static_cast<int>(Left));
  }
  return true;
}

struct Reply {
  int m_status = 0; ///< Zero without a complete answer.
  bool m_connected = false;
  bool m_closed = false; ///< The connection ended without an answer.
  std::string m_head;
  std::string m_body;
  std::string header(const std::string &Name) const {
    std::string Line = "\r\n" + Name + ": ";
    std::size_t At = m_head.find(Line);
    if (At == std::string::npos)
      return "";
    At += Line.size();
    return m_head.substr(At, m_head.find('\r', At) - At);
  }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string encode(const std::string &Method, const std::string &Target,
                          const Headers &Fields, const std::string &Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

/// Reads an answer with a length.
inline void readReply(int Socket, Reply &Into, long long Until) {
  std::string Input;
  char Bytes[16384];
  for (;;) {
    std::size_t HeadEnd = Input.find("\r\n\r\n");
    if (HeadEnd != std::string::npos) {
      Into.m_head = Input.substr(0, HeadEnd + 2);
      std::string Length = Into.header("Content-Length");
      std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
      if (Input.size() >= HeadEnd + 4 + Size) {
        Into.m_body = Input.substr(HeadEnd + 4, Size);
        Into.m_status = atoi(Input.c_str() + 9);
        return;
      }
    }
    long long Left = Until - nowMs();
    pollfd Event{Socket, POLLIN, 0};
    if (Left <= 0 || poll(&Event, 1, static_cast<int>(Left)) != 1)
      return;
    ssize_t Size = recv(Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT);
    if (Size <= 0) {
      Into.m_closed = true;
      return;
    }
    Input.append(Bytes, static_cast<std::size_t>(Size));
  }
}

/// One call on a new connection.
inline Reply call(const Address &Server, const std::string &Method,
                  const std::string &Target, Headers Fields,
                  const std::string &Body, int TimeoutMs, int ConnectMs = 1000,
                  const std::string &Source = "") {
  Reply Result;
  long long Until = nowMs() + TimeoutMs;
  int Socket = connectTo(Server, std::min(ConnectMs, TimeoutMs), Source);
  if (Socket < 0)
    return Result;
  Result.m_connected = true;
  bool HasHost = std::any_of(Fields.begin(), Fields.end(), [](const auto &F) {
    return F.first == "Host";
  });
  if (!HasHost)
    Fields.insert(Fields.begin(), {"Host", Server.text()});
  if (sendAll(Socket, encode(Method, Target, Fields, Body), TimeoutMs))
    readReply(Socket, Result, Until);
  close(Socket);
  return Result;
}

/// The processes that a case has started; all end with it.
class Processes {
public:
  ~Processes() { endAll(); }
  pid_t start(const std::vector<std::string> &Arguments, const std::string &Log,
              rlim_t Descriptors = 0) {
    return fork([&] {
      int Output = ::open(Log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
      dup2(Output, 1);
      dup2(Output, 2);
      if (Descriptors > 0) {
        rlimit Limit{Descriptors, Descriptors};
        setrlimit(RLIMIT_NOFILE, &Limit);
      }
      std::vector<char *> Words;
      for (const std::string &Each : Arguments)
        Words.push_back(const_cast<char *>(Each.c_str()));
      Words.push_back(nullptr);
      execv(Words[0], Words.data());
      _exit(127);
    });
  }
  /// Runs \p Child in a process of its own.
  template <class Function> pid_t fork(Function Child) {
    std::lock_guard<std::mutex> Guard(m_mutex);
    pid_t Id = ::fork();
    if (Id == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      signal(SIGPIPE, SIG_IGN);
      Child();
      _exit(0);
    }
    m_ids.push_back(Id);
    return Id;
  }
  /// Returns true once the process has ended.
  bool ended(pid_t Id) {
    std::lock_guard<std::mutex> Guard(m_mutex);
    if (std::find(m_ids.begin(), m_ids.end(), Id) == m_ids.end())
      return true;
    if (waitpid(Id, nullptr, WNOHANG) != Id)
      return false;
    std::erase(m_ids, Id);
    return true;
  }
  void endAll() {
    std::lock_guard<std::mutex> Guard(m_mutex);
    for (pid_t Id : m_ids)
      kill(Id, SIGKILL);
    for (pid_t Id : m_ids)
      waitpid(Id, nullptr, 0);
    m_ids.clear();
  }

private:
  std::mutex m_mutex;
  std::vector<pid_t> m_ids;
};

/// One machine of the system.
struct Machine {
  std::string m_name;
  std::string m_zone;
  Address m_callers, m_ready, m_internal, m_metrics;
  pid_t m_process = 0;
};

/// A backend, as the driver sees it.
struct Backend {
  std::string m_id, m_service, m_zone;
  Address m_address;
  pid_t m_process = 0;
};

/// What the deploy file's command takes from a site. The defaults are those of
/// austral-gw.
struct SiteFigures {
  int m_descriptors = 4100;
  std::string m_linkMegabits = "1000.0";
  std::string m_memoryMegabytes = "260";
  std::string m_drain = "2000ms";
  std::string m_retryAllowance = "60";
  std::string m_coldSlack = "5";
};

/// The store, the machines and a temporary folder for their logs.
class Deployment {
public:
  explicit Deployment(std::string Programs) : m_programs(std::move(Programs)) {
    std::string Pattern = "/tmp/review2-XXXXXX";
    if (const char *Folder = getenv("TMPDIR"))
      Pattern = std::string(Folder) + "/review2-XXXXXX";
    if (!mkdtemp(Pattern.data()))
      fail("no temporary folder");
    m_folder = Pattern;
  }
  ~Deployment() {
    m_processes.endAll();
    if (!getenv("KEEP_LOGS"))
      (void)!system(("rm -rf '" + m_folder + "'").c_str());
  }
  /// Ends the case, as it can not run.
  [[noreturn]] void fail(const char *Why) {
    record().line("cannot run: %s", Why);
    m_processes.endAll();
    fprintf(stderr, "cannot run: %s\n", Why);
    _exit(CannotRun);
  }
  std::string file(const std::string &Name) const {
    return m_folder + "/" + Name;
  }
  void startStore() {
    m_processes.start(
        {m_programs + "/burdockpulley-kv-standin", "--port-file", file("store")},
        file("store.log"));
    for (int Try = 0; Try < 200 && m_store.m_port == 0; ++Try) {
      sleepMs(25);
      std::ifstream(file("store")) >> m_store.m_port;
    }
    if (m_store.m_port == 0)
      fail("the store does not start");
  }
  /// Writes an entry as the operator or a backend does.
  bool put(const std::string &Key, const std::string &Value) {
    return call(m_store, "POST", "/standin/put?key=" + Key, {}, Value, 2000)
               .m_status == 200;
  }
  bool remove(const std::string &Key) {
    return call(m_store, "POST", "/standin/delete?key=" + Key, {}, "", 2000)
               .m_status == 200;
  }
  Machine &addMachine(const std::string &Name, const std::string &Zone) {
    Machine Added;
    Added.m_name = Name;
    Added.m_zone = Zone;
    Added.m_callers = freeAddress();
    Added.m_ready = freeAddress();
    Added.m_internal = freeAddress();
    Added.m_metrics = freeAddress();
    return m_machines[Name] = Added;
  }
  /// Starts a machine's process with the command of the deploy file.
  void startMachine(Machine &At) {
    At.m_process = m_processes.start(
        {m_programs + "/burdockpulleyd", "registry", "--host", At.m_name,
         "--failure-domain", At.m_zone, "--listen", At.m_callers.text(),
         "--ready-listen", At.m_ready.text(), "--peer-listen",
         At.m_internal.text(), "--forward-listen", At.m_internal.text(),
         "--metrics-listen", At.m_metrics.text(), "--store", m_store.text(),
         "--descriptors", std::to_string(m_figures.m_descriptors),
         "--link-megabits", m_figures.m_linkMegabits,
         "--memory-megabytes", m_figures.m_memoryMegabytes, "--drain",
         m_figures.m_drain, "--stop-time", "6s",
         "--max-hold", "10000ms", "--retry-ratio", "0.2", "--retry-window",
         "10s", "--retry-allowance", m_figures.m_retryAllowance, "--quota-window=",
         "--quota-overage=", "--quota-slack=", "--reserve-slots",
         "--cold-overage=1.5", "--cold-slack=" + m_figures.m_coldSlack},
        file(At.m_name + ".log"),
        static_cast<rlim_t>(m_figures.m_descriptors));
  }
  bool ready(const Machine &At) {
    return call(At.m_ready, "GET", "/readiness", {}, "", 1000).m_status == 200;
  }
  void waitUntilReady() {
    for (auto &[Name, At] : m_machines) {
      long long Until = nowMs() + 15000;
      while (!ready(At)) {
        if (nowMs() > Until)
          fail("a machine does not get ready");
        sleepMs(50);
      }
    }
  }

  SiteFigures m_figures;
  std::string m_programs;
  std::string m_folder;
  Address m_store;
  Processes m_processes;
  std::map<std::string, Machine> m_machines;
};

struct BackendOptions {
  std::string m_id, m_service, m_zone;
  Address m_store, m_address;
  int m_slots = 4;
  int m_workMs = 20;
  int m_coldMs = 0;        ///< How long it is cold from its start.
  int m_receiveBytes = 0;  ///< Size of its receive windows; 0: the kernel's.
  /// A request with this path ends the process; none if empty.
  std::string m_poison;
  /// Begins to work on an order ("/order/...") when its head is there, and
  /// reads the rest of the body after this pause.
  int m_readPauseMs = 0;
  std::string m_log; ///< Gets a line for each request that begins to run.
};

/// A server as the users' pages describe it. It registers itself, runs
/// requests on its slots, and never returns.
class BackendServer {
public:
  explicit BackendServer(BackendOptions Options)
      : m_options(std::move(Options)), m_born(wallMs()) {}

  [[noreturn]] void run() {
    signal(SIGPIPE, SIG_IGN);
    m_log = ::open(m_options.m_log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int Enabled = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
    if (m_options.m_receiveBytes > 0)
      setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &m_options.m_receiveBytes,
                 sizeof(m_options.m_receiveBytes));
    sockaddr_in Bound = toSocket(m_options.m_address);
    if (bind(Listener, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) != 0 ||
        listen(Listener, 128) != 0)
      _exit(3);
    std::thread([this] {
      for (;;) {
        beat();
        sleepMs(870);
      }
    }).detach();
    for (;;) {
      int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket >= 0)
        std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

private:
  void beat() {
    std::string Body =
        "{\"service\":\"" + m_options.m_service + "\",\"address\":\"" +
        m_options.m_address.text() + "\",\"zone\":\"" + m_options.m_zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.m_slots) +
        ",\"state\":\"ready\",\"cold_remaining\":\"" +
        std::to_string(std::max(0LL, m_options.m_coldMs - (wallMs() - m_born))) +
        "ms\",\"sequence\":" +
        std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) +
        "}";
    call(m_options.m_store, "POST",
         "/standin/put?key=servers/" + m_options.m_id, {}, Body, 1000);
  }

  static std::string header(const std::string &Head, const std::string &Name) {
    std::size_t At = 0;
    std::string Wanted = "\r\n" + Name + ":";
    for (; At + Wanted.size() <= Head.size(); ++At)
      if (strncasecmp(Head.c_str() + At, Wanted.c_str(), Wanted.size()) == 0) {
        At += Wanted.size();
        while (At < Head.size() && Head[At] == ' ')
          ++At;
        return Head.substr(At, Head.find('\r', At) - At);
      }
    return "";
  }

  static std::string targetOf(const std::string &Head) {
    std::size_t At = Head.find(' ') + 1;
    return Head.substr(At, Head.find(' ', At) - At);
  }

  void log(const char *Event, const std::string &Id, const std::string &Target) {
    std::string Line = std::to_string(nowMs()) + " " + m_options.m_id + " " +
                       Event + " " + Id + " " + Target + "\n";
    (void)!write(m_log, Line.data(), Line.size());
  }

  void serve(int Socket) {
    int Enabled = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
    std::string Input;
    char Bytes[16384];
    for (;;) {
      std::size_t HeadEnd;
      std::size_t Size = 0;
      bool Began = false;
      while ((HeadEnd = Input.find("\r\n\r\n")) == std::string::npos ||
             Input.size() <
                 HeadEnd + 4 +
                     (Size = static_cast<std::size_t>(atol(
                          header(Input.substr(0, HeadEnd + 2), "Content-Length")
                              .c_str())))) {
        std::string Start =
            HeadEnd == std::string::npos ? "" : Input.substr(0, HeadEnd + 2);
        bool Order = targetOf(Start).starts_with("/order/") &&
                      header(Start, "Expected-Instance") == m_options.m_id;
        if (Order && !Began) {
          Began = true;
          log("run", header(Start, "Request-Id"), targetOf(Start));
          sleepMs(m_options.m_readPauseMs);
        }
        ssize_t Got = recv(Socket, Bytes, sizeof(Bytes), 0);
        if (Got <= 0) {
          if (Began)
            log(Got < 0 ? "reset" : "ended", header(Start, "Request-Id"),
                targetOf(Start));
          close(Socket);
          return;
        }
        Input.append(Bytes, static_cast<std::size_t>(Got));
      }
      std::string Head = Input.substr(0, HeadEnd + 2);
      std::string Body = Input.substr(HeadEnd + 4, Size);
      Input.erase(0, HeadEnd + 4 + Size);
      std::string Answer = answer(Head, Body);
      if (!sendAll(Socket, Answer, 20000)) {
        close(Socket);
        return;
      }
    }
  }

  static std::string response(int Status, const Headers &Fields,
                              const std::string &Body) {
    std::string Text = "HTTP/1.1 " + std::to_string(Status) + " S\r\n";
    for (const auto &[Name, Value] : Fields)
      Text += Name + ": " + Value + "\r\n";
    return Text + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }

  std::string load() {
    int Running = m_running;
    return std::to_string(std::min(Running, m_options.m_slots)) + "," +
           std::to_string(std::max(0, Running - m_options.m_slots)) + "," +
           std::to_string(m_options.m_slots);
  }

  std::string answer(const std::string &Head, const std::string &Body) {
    std::string Target = targetOf(Head);
    std::string Id = header(Head, "Request-Id");
    std::string Expected = header(Head, "Expected-Instance");
    Headers Fields{{"Instance-Id", m_options.m_id}, {"Server-Load", load()}};
    if (!Id.empty())
      Fields.push_back({"Request-Id", Id});
    if (!Expected.empty() && Expected != m_options.m_id) {
      Fields.push_back({"Not-Executed", "1"});
      return response(421, Fields, "");
    }
    if (Target == "/health")
      return response(200, Fields, "");
    if (Id.empty()) {
      Fields.push_back({"Not-Executed", "1"});
      return response(400, Fields, "");
    }
    if (m_running.fetch_add(1) >= m_options.m_slots + 16) {
      --m_running;
      Fields.push_back({"Not-Executed", "1"});
      return response(503, Fields, "");
    }
    if (!Target.starts_with("/order/"))
      log("run", Id, Target);
    if (!m_options.m_poison.empty() && Target == m_options.m_poison)
      _exit(9); // The kernel closes its connections and its port.
    sleepMs(m_options.m_workMs);
    --m_running;
    std::string Text = Id + " " + m_options.m_id + " " + Target + " " +
                       std::to_string(Body.size());
    if (Target.starts_with("/order/"))
      log("done", Id, Target);
    // "/export/BYTES" asks for a body of so many bytes.
    if (Target.starts_with("/export/"))
      Text.resize(std::stoul(Target.substr(8)), 'x');
    Fields.push_back({"Response-Signature",
                      std::to_string(std::hash<std::string>()(Text))});
    return response(200, Fields, Text);
  }

  BackendOptions m_options;
  long long m_born;
  long long m_sequence = 0;
  std::atomic<int> m_running = 0;
  int m_log = -1;
};

/// A route of a configuration.
struct Route {
  std::string m_name, m_prefix, m_kind, m_service;
  int m_timeoutMs = 3000;
};

inline std::string configuration(const std::string &Version,
                                 const std::vector<std::string> &Services,
                                 const std::vector<Route> &Routes) {
  std::string Text = "{\"version\":\"" + Version + "\",\"services\":[";
  for (std::size_t I = 0; I < Services.size(); ++I)
    Text += std::string(I ? "," : "") + "{\"name\":\"" + Services[I] +
            "\",\"health_check_path\":\"/health\",\"connection_limit\":120,"
            "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\","
            "\"cold_per_s\":19.0}";
  Text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
          "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
          "\"hosts\":[{\"host\":\"x.example\",\"paths\":[";
  for (std::size_t I = 0; I < Routes.size(); ++I)
    Text += std::string(I ? "," : "") + "{\"name\":\"" + Routes[I].m_name +
            "\",\"path_prefix\":\"" + Routes[I].m_prefix + "\",\"kind\":\"" +
            Routes[I].m_kind + "\",\"timeout\":\"" +
            std::to_string(Routes[I].m_timeoutMs) +
            "ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"" +
            Routes[I].m_service + "\",\"max_attempts\":2}";
  return Text + "]}]}";
}

/// False with TROUBLE=0.
inline bool trouble() {
  const char *Value = getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

} // namespace review

#endif
