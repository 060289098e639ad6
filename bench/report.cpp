#include "report.h"

#include <cmath>
#include <cstdio>

namespace burdockpulley::bench {

using nlohmann::ordered_json;

namespace {

std::string cell(const ordered_json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string line(const std::vector<std::string> &Cells) {
  std::string Text = "|";
  for (const std::string &Cell : Cells)
    Text += " " + Cell + " |";
  return Text;
}

std::vector<std::string> headings(const ordered_json &Row) {
  std::vector<std::string> Names;
  for (const auto &[Name, Value] : Row.items())
    Names.push_back(Name);
  return Names;
}

std::vector<std::string> cells(const ordered_json &Row) {
  std::vector<std::string> Texts;
  for (const auto &[Name, Value] : Row.items())
    Texts.push_back(cell(Value));
  return Texts;
}

} // namespace

void Report::print() const {
  std::printf("\n## %s\n\n", m_title.c_str());
  if (!m_rows.empty()) {
    std::vector<std::string> Names = headings(m_rows.front());
    std::printf("%s\n", line(Names).c_str());
    std::printf("%s\n",
                line(std::vector<std::string>(Names.size(), "---")).c_str());
  }
  for (const ordered_json &Row : m_rows)
    std::printf("%s\n", line(cells(Row)).c_str());
  for (const std::string &Note : m_notes)
    std::printf("\n%s\n", Note.c_str());
  std::fflush(stdout);
}

ordered_json Report::toJson() const {
  return {{"title", m_title}, {"rows", m_rows}, {"notes", m_notes}};
}

double rounded(double Value) { return std::round(Value * 1000) / 1000; }

} // namespace burdockpulley::bench
