#include "burdockpulley/testkit.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <stdexcept>
#include <thread>

extern char **environ;

namespace burdockpulley {

namespace {
constexpr auto PollInterval = std::chrono::milliseconds(5);
} // namespace

ChildProcess::ChildProcess(const std::string &Program,
                           std::vector<std::string> Arguments,
                           const std::string &LogFile) {
  std::string Path = Program.starts_with('/')
                         ? Program
                         : std::string(BURDOCKPULLEY_BIN_DIR "/") + Program;
  std::vector<char *> Words{Path.data()};
  for (std::string &Argument : Arguments)
    Words.push_back(Argument.data());
  Words.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  int Failed = posix_spawn(&m_pid, Path.c_str(), &Actions, nullptr,
                           Words.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed)
    throw std::runtime_error("can not start " + Path);
}

ChildProcess::~ChildProcess() {
  if (!running())
    return;
  signal(SIGKILL);
  wait();
}

void ChildProcess::signal(int Number) {
  if (running())
    kill(m_pid, Number);
}

bool ChildProcess::running() {
  if (!m_ended && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
    m_ended = true;
  return !m_ended;
}

int ChildProcess::wait() {
  if (!m_ended)
    waitpid(m_pid, &m_status, 0);
  m_ended = true;
  return WIFSIGNALED(m_status) ? -WTERMSIG(m_status) : WEXITSTATUS(m_status);
}

bool waitUntil(const std::function<bool()> &Holds, Duration Limit) {
  auto End = std::chrono::steady_clock::now() + Limit;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace burdockpulley
