#include "burdockpulley/grants.h"

#include <nlohmann/json.hpp>

#include <array>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr std::array<const char *, 5> RefusalNames = {
    "", "old-epoch", "old-sequence", "other-boot", "no-list"};

json encodeStamp(const UpstreamStamp &Stamp) {
  return {{"boot", Stamp.m_boot}, {"clockUs", Stamp.m_clock.count()}};
}

UpstreamStamp decodeStamp(const json &Object) {
  return {Object.at("boot").get<std::string>(),
          Duration(Object.at("clockUs").get<std::int64_t>())};
}

} // namespace

const char *toString(GrantRefusal Refusal) {
  return RefusalNames.at(static_cast<std::size_t>(Refusal));
}

std::string encodeGrantRequest(const GrantRequest &Order) {
  json Object = {{"keeper", Order.m_keeper},
                 {"epoch", Order.m_epoch.value()},
                 {"sequence", Order.m_sequence},
                 {"stamp", encodeStamp(Order.m_stamp)},
                 {"leaseMs", Order.m_lease.count() / 1000},
                 {"listVersion", Order.m_listVersion}};
  if (Order.m_full) {
    json Grants = json::array();
    for (const auto &[Partition, Token] : Order.m_grants)
      Grants.push_back({Partition.value(), Token.value()});
    Object["grants"] = std::move(Grants);
  }
  return Object.dump();
}

bool decodeGrantRequest(std::string_view Text, GrantRequest &Order) {
  json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return false;
  try {
    Order.m_keeper = Object.at("keeper").get<std::string>();
    Order.m_epoch = KeeperEpoch(Object.at("epoch").get<std::uint64_t>());
    Order.m_sequence = Object.at("sequence").get<std::uint64_t>();
    Order.m_stamp = decodeStamp(Object.at("stamp"));
    Order.m_lease =
        std::chrono::milliseconds(Object.at("leaseMs").get<std::int64_t>());
    Order.m_listVersion = Object.at("listVersion").get<std::uint64_t>();
    Order.m_full = Object.contains("grants");
    Order.m_grants.clear();
    for (const json &Grant : Object.value("grants", json::array()))
      Order.m_grants[PartitionIndex(Grant.at(0).get<std::uint32_t>())] =
          FencingToken(Grant.at(1).get<std::uint64_t>());
  } catch (const json::exception &) {
    return false;
  }
  return true;
}

std::string encodeGrantResponse(const GrantResponse &Answer) {
  json Busy = json::array();
  for (PartitionIndex Partition : Answer.m_busy)
    Busy.push_back(Partition.value());
  return json{{"refused", toString(Answer.m_refusal)},
              {"stamp", encodeStamp(Answer.m_stamp)},
              {"busy", Busy}}
      .dump();
}

bool decodeGrantResponse(std::string_view Text, GrantResponse &Answer) {
  json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return false;
  try {
    auto Name = Object.at("refused").get<std::string>();
    const auto *Found =
        std::find(RefusalNames.begin(), RefusalNames.end(), Name);
    if (Found == RefusalNames.end())
      return false;
    Answer.m_refusal = static_cast<GrantRefusal>(Found - RefusalNames.begin());
    Answer.m_stamp = decodeStamp(Object.at("stamp"));
    Answer.m_busy.clear();
    for (const json &Partition : Object.at("busy"))
      Answer.m_busy.emplace_back(Partition.get<std::uint32_t>());
  } catch (const json::exception &) {
    return false;
  }
  return true;
}

} // namespace burdockpulley
