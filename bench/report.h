#ifndef BURDOCKPULLEY_BENCH_REPORT_H
#define BURDOCKPULLEY_BENCH_REPORT_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace burdockpulley::bench {

/// What one experiment has found: rows of one shape, in order.
/// Thread safety: none.
class Report {
public:
  explicit Report(std::string Title) : m_title(std::move(Title)) {}

  /// Adds a row: an object of column names and numbers or strings.
  void add(nlohmann::ordered_json Row) { m_rows.push_back(std::move(Row)); }

  /// Adds a line that is printed under the table.
  void note(std::string Line) { m_notes.push_back(std::move(Line)); }

  /// Prints the table to standard output as Markdown.
  void print() const;

  nlohmann::ordered_json toJson() const;

private:
  std::string m_title;
  std::vector<nlohmann::ordered_json> m_rows;
  std::vector<std::string> m_notes;
};

/// Rounds to three decimals, so that tables stay readable.
/// Thread safety: safe.
double rounded(double Value);

} // namespace burdockpulley::bench

#endif
