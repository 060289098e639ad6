// Stand-in for a keyed backend: registers itself, takes grants and releases,
// runs requests, and logs what it does in the form of the project's stand-in.
//
// POST /standin/arm: at the next grant under a new token that comes on a
// connection on which a grant has been answered, it sends the last answer a
// second time, gives no other answer, and carries the grant out LateMillis after
// its arrival. The grant's time counts from its arrival. /standin/arm-extra: it also
// answers and carries it out at once. /standin/arm-late: it gives no answer.
//
// Arguments: id, service, zone, port of the store, log, port file, work in ms.
#include "kit.hh"

#include <set>

using namespace review;

namespace {

constexpr int LateMillis = 2700;
constexpr unsigned KeyCount = 65536;

struct Request {
  std::string m_method;
  std::string m_target;
  std::map<std::string, std::string> m_fields;
  std::string m_body;

  std::string field(const std::string &Name) const {
    auto It = m_fields.find(Name);
    return It == m_fields.end() ? "" : It->second;
  }
};

std::uint64_t numberIn(const std::string &Json, const std::string &Name) {
  auto At = Json.find("\"" + Name + "\":");
  return At == Json.npos
             ? 0
             : std::strtoull(Json.c_str() + At + Name.size() + 3, nullptr, 10);
}

std::int64_t holdMicros(const std::string &Json) {
  const std::string Name = "\"hold_time\":\"";
  auto At = Json.find(Name);
  if (At == Json.npos)
    return 0;
  const char *Text = Json.c_str() + At + Name.size();
  char *End = nullptr;
  double Value = std::strtod(Text, &End);
  return static_cast<std::int64_t>(Value * (*End == 'm' ? 1e3 : 1e6));
}

class Backend {
public:
  Backend(std::string Id, std::string Service, std::string Zone, int StorePort,
          const std::string &LogFile, int WorkMillis)
      : m_id(std::move(Id)), m_service(std::move(Service)),
        m_zone(std::move(Zone)), m_storePort(StorePort),
        m_workMillis(WorkMillis), m_log(LogFile, std::ios::app),
        m_keys(KeyCount) {
    timespec Now{};
    clock_gettime(CLOCK_REALTIME, &Now);
    m_born = Now.tv_sec * 1000LL + Now.tv_nsec / 1'000'000;
  }

  void run(const std::string &PortFile) {
    int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(Listener, 256) != 0)
      return;
    getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_port = ntohs(Address.sin_port);
    std::ofstream(PortFile) << m_port << "\n";
    std::thread([this] {
      for (;; pauseFor(300))
        sendHeartbeat();
    }).detach();
    for (;;) {
      int Socket = accept(Listener, nullptr, nullptr);
      if (Socket >= 0)
        std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

private:
  /// What it does when armed: both, or one half.
  enum class Mode { Both, Extra, Late };

  struct Key {
    std::uint64_t m_highest = 0;
    std::int64_t m_until = 0;
  };

  void sendHeartbeat() {
    std::string Body =
        "{\"service\":\"" + m_service + "\",\"address\":\"127.0.0.1:" +
        std::to_string(m_port) + "\",\"zone\":\"" + m_zone +
        "\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
        "\"cold_remaining\":\"0ms\",\"sequence\":" +
        std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) +
        "}";
    call(m_storePort, "POST", "/standin/put?key=servers/" + m_id, {}, Body,
         1000);
  }

  static bool read(int Socket, std::string &Buffer, Request &Result) {
    Result = Request();
    for (;;) {
      auto HeadEnd = Buffer.find("\r\n\r\n");
      if (HeadEnd != Buffer.npos) {
        std::istringstream Head(Buffer.substr(0, HeadEnd + 2));
        std::string Line;
        Head >> Result.m_method >> Result.m_target;
        std::getline(Head, Line);
        while (std::getline(Head, Line)) {
          auto Colon = Line.find(':');
          if (Colon == Line.npos)
            continue;
          std::string Name = Line.substr(0, Colon);
          std::transform(Name.begin(), Name.end(), Name.begin(), tolower);
          std::string Value = Line.substr(Colon + 1);
          while (!Value.empty() && Value.back() == '\r')
            Value.pop_back();
          Result.m_fields[Name] =
              Value.substr(std::min(Value.find_first_not_of(' '), Value.size()));
        }
        std::size_t Length = static_cast<std::size_t>(
            std::atoll(Result.field("content-length").c_str()));
        if (Buffer.size() >= HeadEnd + 4 + Length) {
          Result.m_body = Buffer.substr(HeadEnd + 4, Length);
          Buffer.erase(0, HeadEnd + 4 + Length);
          return true;
        }
      }
      char Bytes[65536];
      ssize_t Size = recv(Socket, Bytes, sizeof(Bytes), 0);
      if (Size <= 0)
        return false;
      Buffer.append(Bytes, static_cast<std::size_t>(Size));
    }
  }

  void serve(int Socket) {
    int Enabled = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
    std::string Buffer;
    std::string LastGrantAnswer;
    for (Request Next; read(Socket, Buffer, Next);) {
      std::int64_t Arrived = nowMicros();
      std::string Text;
      if (Next.m_target == "/grant" && misbehaves(Next, LastGrantAnswer)) {
        Text = m_mode == Mode::Late ? "" : LastGrantAnswer;
        if (m_mode == Mode::Extra)
          Text += handle(Next, Arrived);
        else
          std::thread([this, Next, Arrived] {
          pauseFor(LateMillis);
          grant(Next.m_body, Arrived);
        }).detach();
      } else {
        Text = handle(Next, Arrived);
        if (Next.m_target == "/grant")
          LastGrantAnswer = Text;
      }
      if (!Text.empty() &&
          send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) < 0)
        break;
    }
    close(Socket);
  }

  bool misbehaves(const Request &Grant, const std::string &LastAnswer) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    std::uint64_t Token = numberIn(Grant.m_body, "fence");
    bool New = m_tokens.insert(Token).second;
    if (!m_armed || !New || LastAnswer.find(" 200 ") == LastAnswer.npos ||
        Grant.field("expected-instance") != m_id)
      return false;
    m_armed = false;
    m_log << "unanswered " << numberIn(Grant.m_body, "from") << " "
          << numberIn(Grant.m_body, "target") << " " << Token << " "
          << nowMicros() << "\n"
          << std::flush;
    return true;
  }

  static std::string answer(const std::string &Status, const Headers &Fields,
                            const std::string &Body) {
    std::string Text = "HTTP/1.1 " + Status + "\r\n";
    for (const auto &[Name, Value] : Fields)
      Text += Name + ": " + Value + "\r\n";
    return Text + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }

  std::string handle(const Request &Next, std::int64_t Arrived) {
    if (Next.m_target.starts_with("/standin/arm")) {
      std::lock_guard<std::mutex> Lock(m_mutex);
      m_mode = Next.m_target.ends_with("-extra")  ? Mode::Extra
               : Next.m_target.ends_with("-late") ? Mode::Late
                                                  : Mode::Both;
      m_armed = true;
      return answer("200 OK", {}, "");
    }
    if (Next.m_target == "/health")
      return answer("200 OK", {{"Instance-Id", m_id}}, "");
    std::string Expected = Next.field("expected-instance");
    if (!Expected.empty() && Expected != m_id)
      return answer("421 Misdirected Request", {{"Not-Executed", "1"}}, "");
    if (Next.m_target == "/grant")
      return grant(Next.m_body, Arrived) ? answer("200 OK", {}, "")
                                         : answer("409 Conflict", {}, "");
    if (Next.m_target == "/release")
      return release(Next.m_body);
    return work(Next);
  }

  bool grant(const std::string &Body, std::int64_t Arrived) {
    std::lock_guard<std::mutex> Lock(m_mutex);
    auto First = static_cast<unsigned>(numberIn(Body, "from"));
    auto Last = static_cast<unsigned>(numberIn(Body, "target"));
    std::uint64_t Token = numberIn(Body, "fence");
    for (unsigned Key = First; Key <= Last; ++Key)
      if (m_keys[Key].m_highest > Token)
        return false;
    std::int64_t Until = Arrived + holdMicros(Body);
    for (unsigned Key = First; Key <= Last; ++Key)
      m_keys[Key] = {Token, std::max(m_keys[Key].m_until, Until)};
    m_log << "hold " << First << " " << Last << " " << Token << " "
          << nowMicros() << " " << Until << "\n"
          << std::flush;
    return true;
  }

  std::string release(const std::string &Body) {
    std::unique_lock<std::mutex> Lock(m_mutex);
    auto First = static_cast<unsigned>(numberIn(Body, "from"));
    auto Last = static_cast<unsigned>(numberIn(Body, "target"));
    for (unsigned Key = First; Key <= Last; ++Key)
      m_keys[Key].m_until = 0;
    m_log << "release " << First << " " << Last << " " << nowMicros() << "\n"
          << std::flush;
    // The answer comes when the work on these keys has ended.
    for (;;) {
      auto Running = m_running.lower_bound(First);
      if (Running == m_running.end() || *Running > Last)
        break;
      Lock.unlock();
      pauseFor(2);
      Lock.lock();
    }
    return answer("200 OK", {{"Handover", "h" + m_id}}, "");
  }

  std::string work(const Request &Next) {
    std::string Id = Next.field("request-id");
    auto Key = static_cast<unsigned>(
        std::strtoul(Next.field("shard-key").c_str(), nullptr, 10));
    {
      std::lock_guard<std::mutex> Lock(m_mutex);
      if (Key >= KeyCount || m_keys[Key].m_until <= nowMicros())
        return answer("421 Misdirected Request",
                      {{"Not-Executed", "1"}, {"Request-Id", Id}}, "");
      m_running.insert(Key);
      m_log << "run " << Id << " " << Key << " " << nowMicros() << "\n"
            << std::flush;
    }
    pauseFor(m_workMillis);
    std::lock_guard<std::mutex> Lock(m_mutex);
    m_running.erase(m_running.find(Key));
    m_log << "done " << Id << " " << Key << " " << nowMicros() << "\n"
          << std::flush;
    return answer("200 OK",
                  {{"Request-Id", Id},
                   {"Response-Signature", m_id + "." + Id},
                   {"Server-Load", "1,0,4,100"}},
                  Id + " " + m_id);
  }

  std::string m_id;
  std::string m_service;
  std::string m_zone;
  int m_storePort;
  int m_port = 0;
  int m_workMillis;
  std::mutex m_mutex;
  std::ofstream m_log;
  std::vector<Key> m_keys;
  std::multiset<unsigned> m_running;
  std::set<std::uint64_t> m_tokens;
  bool m_armed = false;
  Mode m_mode = Mode::Both;
  std::int64_t m_born = 0;
  std::uint64_t m_sequence = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  if (Count < 8)
    return 2;
  Backend Played(Arguments[1], Arguments[2], Arguments[3],
                 std::atoi(Arguments[4]), Arguments[5],
                 std::atoi(Arguments[7]));
  Played.run(Arguments[6]);
  return 0;
}
