#include "process_usage.h"

#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>

namespace burdockpulley::bench {

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;
constexpr int FieldsBeforeUserTime = 11;

std::string folder(pid_t Process) {
  return "/proc/" + std::to_string(Process) + "/";
}

Duration cpuTime(pid_t Process) {
  std::ifstream Input(folder(Process) + "stat");
  std::string Text;
  std::getline(Input, Text);
  std::size_t NameEnd = Text.rfind(')');
  if (NameEnd == Text.npos)
    return {};
  std::istringstream Fields(Text.substr(NameEnd + 1));
  std::string Skipped;
  for (int I = 0; I < FieldsBeforeUserTime; ++I)
    Fields >> Skipped;
  std::int64_t User = 0;
  std::int64_t System = 0;
  Fields >> User >> System;
  return Duration((User + System) * MicrosPerSecond / sysconf(_SC_CLK_TCK));
}

std::uint64_t namedNumber(const std::string &Path, const std::string &Name) {
  std::ifstream Input(Path);
  for (std::string Line; std::getline(Input, Line);)
    if (Line.starts_with(Name))
      return std::stoull(Line.substr(Name.size()));
  return 0;
}

} // namespace

ProcessUsage readUsage(pid_t Process) {
  ProcessUsage Usage;
  Usage.m_cpu = cpuTime(Process);
  Usage.m_residentBytes =
      namedNumber(folder(Process) + "status", "VmRSS:") * 1024;
  Usage.m_readBytes = namedNumber(folder(Process) + "io", "rchar:");
  Usage.m_writtenBytes = namedNumber(folder(Process) + "io", "wchar:");
  return Usage;
}

std::uint64_t allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

Instant benchNow() {
  auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(SinceBoot));
}

} // namespace burdockpulley::bench
