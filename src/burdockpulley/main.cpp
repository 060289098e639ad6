#include "burdockpulley/configuration.h"
#include "burdockpulley/etcd_store.h"
#include "burdockpulley/event_log.h"

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>
#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <optional>

using namespace burdockpulley;
namespace leaf = boost::leaf;

namespace {

constexpr Duration StoreTimeout{5'000'000};

enum ExitCode { Good = 0, Faulty = 1, Usage = 2, Conflict = 3, NoStore = 4 };

std::optional<Declarations> readSet(const std::string &Path) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Declarations>> {
        BOOST_LEAF_AUTO(Sources, loadSources(Path));
        BOOST_LEAF_AUTO(Set, readDeclarations(Sources));
        return std::optional<Declarations>(std::move(Set));
      },
      [](const DeclarationFaults &Faults) -> std::optional<Declarations> {
        for (const DeclarationFault &Fault : Faults.m_faults)
          std::fprintf(stderr, "%s\n", toString(Fault).c_str());
        return std::nullopt;
      },
      []() -> std::optional<Declarations> { return std::nullopt; });
}

int check(const std::string &Path) {
  std::optional<Declarations> Set = readSet(Path);
  if (!Set)
    return Faulty;
  std::printf("ok: %zu services, %zu upstreams, %zu failure domains\n",
              Set->m_services.size(), Set->m_upstreams.size(),
              Set->m_domains.size());
  return Good;
}

int report(const Publisher::Result &Result) {
  if (const auto *Number = std::get_if<Revision>(&Result)) {
    std::printf("accepted as revision %llu\n",
                static_cast<unsigned long long>(Number->value()));
    return Good;
  }
  switch (std::get<PublishError>(Result)) {
  case PublishError::Conflict:
    std::fprintf(stderr, "conflict: someone else published meanwhile; nothing "
                         "of yours is in force\n");
    return Conflict;
  case PublishError::Unreachable:
    std::fprintf(stderr, "the store was not reached; nothing has changed\n");
    break;
  case PublishError::Unsettled:
    std::fprintf(stderr, "the outcome is not known; look at the current "
                         "revision before you publish again\n");
    break;
  }
  return NoStore;
}

int publish(const std::string &Path, const Endpoint &Platform) {
  std::optional<Declarations> Set = readSet(Path);
  if (!Set)
    return Faulty;
  event_base *Base = event_base_new();
  int Code = NoStore;
  {
    EtcdStore Store(Base, Platform, StoreTimeout);
    SetReader Reader(Store);
    Publisher Writer(Store);
    Reader.readCurrent([&](const SetReader::Result &Current) {
      if (std::holds_alternative<StoreError>(Current)) {
        std::fprintf(stderr, "the store can not be read\n");
        event_base_loopbreak(Base);
        return;
      }
      Writer.publish(*Set, *std::get<0>(Current), "operator",
                     [&](const Publisher::Result &Result) {
                       Code = report(Result);
                       event_base_loopbreak(Base);
                     });
    });
    event_base_dispatch(Base);
  }
  event_base_free(Base);
  return Code;
}

int dispatch(const cxxopts::ParseResult &Flags) {
  auto Command = Flags["command"].as<std::string>();
  auto Path = Flags["path"].as<std::string>();
  if (Command == "check")
    return check(Path);
  Endpoint Platform;
  if (!parseEndpoint(Flags["platform"].as<std::string>(), Platform)) {
    std::fprintf(stderr, "--platform: write IP-ADDRESS:PORT\n");
    return Usage;
  }
  if (Command == "publish")
    return publish(Path, Platform);
  std::fprintf(stderr, "unknown command %s\n", Command.c_str());
  return Usage;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Options("burdockpulley", "Operators' command line.");
  Options.add_options()("command", "check or publish",
                        cxxopts::value<std::string>()->default_value(""))(
      "path", "file or directory of declarations",
      cxxopts::value<std::string>()->default_value(""))(
      "platform", "address of the platform's store, IP:PORT",
      cxxopts::value<std::string>()->default_value(""))("help",
                                                        "print this and end");
  Options.parse_positional({"command", "path"});
  Options.positional_help("COMMAND PATH");
  try {
    cxxopts::ParseResult Flags = Options.parse(Count, Arguments);
    if (Flags.count("help")) {
      std::fputs(Options.help().c_str(), stdout);
      return Good;
    }
    return dispatch(Flags);
  } catch (const cxxopts::exceptions::exception &Problem) {
    std::fprintf(stderr, "burdockpulley: %s\n", Problem.what());
    return Usage;
  }
}
