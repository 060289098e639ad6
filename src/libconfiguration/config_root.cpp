#include "burdockpulley/configuration.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

using nlohmann::json;

std::string encodeRoot(const ConfigRoot &Root) {
  return json{{"revision", Root.m_revision.value()},
              {"publication", Root.m_publication},
              {"chunks", Root.m_chunks},
              {"sha256", Root.m_sha256},
              {"author", Root.m_author}}
      .dump();
}

bool decodeRoot(std::string_view Text, ConfigRoot &Root) {
  json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object() || !Object["revision"].is_number_unsigned() ||
      !Object["publication"].is_string() ||
      !Object["chunks"].is_number_unsigned())
    return false;
  Root.m_revision = Revision(Object["revision"].get<std::uint64_t>());
  Root.m_publication = Object["publication"].get<std::string>();
  Root.m_chunks = Object["chunks"].get<std::uint32_t>();
  Root.m_sha256 = Object.value("sha256", "");
  Root.m_author = Object.value("author", "");
  return true;
}

std::string chunkKey(const std::string &Publication, std::uint32_t Chunk) {
  char Number[16];
  snprintf(Number, sizeof(Number), "%06u", Chunk);
  return ArchivePrefix + Publication + "/" + Number;
}

std::string historyKey(Revision Number) {
  char Text[24];
  snprintf(Text, sizeof(Text), "%012llu",
           static_cast<unsigned long long>(Number.value()));
  return std::string(HistoryPrefix) + Text;
}

} // namespace burdockpulley
