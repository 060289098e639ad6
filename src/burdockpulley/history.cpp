#include "report.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace burdockpulley {

using nlohmann::json;

ExitCode runHistory(const CommandLine &Line) {
  StoreSession Session(Line.m_platform, Line.m_storeTimeout);
  SetReader::HistoryResult Result = Session.readHistory();
  if (const auto *Error = std::get_if<StoreError>(&Result))
    return printStoreError(Line, *Error);
  json List = json::array();
  std::string Text;
  for (const ConfigRoot &Root : std::get<0>(Result)) {
    List.push_back({{"revision", Root.m_revision.value()},
                    {"publication", Root.m_publication},
                    {"author", Root.m_author},
                    {"sha256", Root.m_sha256}});
    Text += std::to_string(Root.m_revision.value()) + "  " +
            Root.m_publication + "  " + Root.m_author + "  " +
            Root.m_sha256.substr(0, 12) + "\n";
  }
  printResult(Line, List, Text);
  return ExitCode::Good;
}

ExitCode runRollback(const CommandLine &Line) {
  const std::string &Text = Line.m_arguments[0];
  std::uint64_t Number = 0;
  auto [Stop, Bad] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Bad != std::errc() || Stop != Text.data() + Text.size())
    return printFailure(Line, ExitCode::Usage, "write a revision number");
  StoreSession Session(Line.m_platform, Line.m_storeTimeout);
  SetReader::Result Current = Session.readCurrent();
  SetReader::Result Old = Session.readRevision(Revision(Number));
  for (const SetReader::Result *Each : {&Current, &Old})
    if (const auto *Error = std::get_if<StoreError>(Each))
      return printStoreError(Line, *Error);
  if (!std::get<0>(Old))
    return printFailure(Line, ExitCode::NotFound,
                        "there was no revision " + Text);
  const Declarations &Set = std::get<0>(Old)->m_declarations;
  const PublishedSet &Base = *std::get<0>(Current);
  auto Faults = checkTransition(Base.m_declarations, Set);
  if (!Faults.empty() && !Line.m_force)
    return printFaults(Line, Faults);
  return publishSet(Line, Session, Set, Base);
}

} // namespace burdockpulley
