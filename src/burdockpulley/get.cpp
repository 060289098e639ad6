#include "report.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

using nlohmann::json;

namespace {

bool selected(const json &Object, const std::string &Filter) {
  std::string Kind = Object["kind"];
  std::string Name = Object["name"];
  return Filter.empty() || Filter == Kind || Filter == Kind + "/" + Name;
}

/// Writes an object as a document that publish reads.
std::string toYaml(const json &Object) {
  std::string Text = "---\n";
  for (const char *First : {"kind", "name"})
    Text += std::string(First) + ": " + Object[First].dump() + "\n";
  for (const auto &[Field, Value] : Object.items())
    if (Field != "kind" && Field != "name")
      Text += Field + ": " + Value.dump() + "\n";
  return Text;
}

} // namespace

ExitCode runGet(const CommandLine &Line) {
  std::string Filter = Line.m_arguments.empty() ? "" : Line.m_arguments[0];
  StoreSession Session(Line.m_platform, Line.m_storeTimeout);
  SetReader::Result Result = Session.readCurrent();
  if (const auto *Error = std::get_if<StoreError>(&Result))
    return printStoreError(Line, *Error);
  const PublishedSet &Current = *std::get<0>(Result);
  json Found = json::array();
  std::string Text =
      "# revision " + std::to_string(Current.m_root.m_revision.value()) + "\n";
  for (const json &Object :
       json::parse(encodeDeclarations(Current.m_declarations))) {
    if (!selected(Object, Filter))
      continue;
    Text += toYaml(Object);
    Found.push_back(Object);
  }
  if (Found.empty() && !Filter.empty())
    return printFailure(Line, ExitCode::NotFound, "there is no " + Filter);
  printResult(
      Line,
      {{"revision", Current.m_root.m_revision.value()}, {"objects", Found}},
      Text);
  return ExitCode::Good;
}

} // namespace burdockpulley
