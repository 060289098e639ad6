#include "burdockpulley/grants.h"

#include <nlohmann/json.hpp>

#include <array>

namespace burdockpulley {

using nlohmann::json;

namespace {

/// By GrantRefusal. Part of the protocol with upstreams.
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

std::string encodeGrantRequest(const GrantRequest &Request) {
  json Object = {{"keeper", Request.m_keeper},
                 {"epoch", Request.m_epoch.value()},
                 {"sequence", Request.m_sequence},
                 {"stamp", encodeStamp(Request.m_stamp)},
                 {"leaseMs", Request.m_lease.count() / 1000},
                 {"listVersion", Request.m_listVersion}};
  if (Request.m_full) {
    json Grants = json::array();
    for (const auto &[Partition, Token] : Request.m_grants)
      Grants.push_back({Partition.value(), Token.value()});
    Object["grants"] = std::move(Grants);
  }
  return Object.dump();
}

bool decodeGrantRequest(std::string_view Text, GrantRequest &Request) {
  json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return false;
  try {
    Request.m_keeper = Object.at("keeper").get<std::string>();
    Request.m_epoch = KeeperEpoch(Object.at("epoch").get<std::uint64_t>());
    Request.m_sequence = Object.at("sequence").get<std::uint64_t>();
    Request.m_stamp = decodeStamp(Object.at("stamp"));
    Request.m_lease =
        std::chrono::milliseconds(Object.at("leaseMs").get<std::int64_t>());
    Request.m_listVersion = Object.at("listVersion").get<std::uint64_t>();
    Request.m_full = Object.contains("grants");
    Request.m_grants.clear();
    for (const json &Grant : Object.value("grants", json::array()))
      Request.m_grants[PartitionIndex(Grant.at(0).get<std::uint32_t>())] =
          FencingToken(Grant.at(1).get<std::uint64_t>());
  } catch (const json::exception &) {
    return false;
  }
  return true;
}

std::string encodeGrantResponse(const GrantResponse &Response) {
  json Busy = json::array();
  for (PartitionIndex Partition : Response.m_busy)
    Busy.push_back(Partition.value());
  return json{{"refused", toString(Response.m_refusal)},
              {"stamp", encodeStamp(Response.m_stamp)},
              {"busy", Busy}}
      .dump();
}

bool decodeGrantResponse(std::string_view Text, GrantResponse &Response) {
  json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return false;
  try {
    auto Name = Object.at("refused").get<std::string>();
    const auto *It = std::find(RefusalNames.begin(), RefusalNames.end(), Name);
    if (It == RefusalNames.end())
      return false;
    Response.m_refusal = static_cast<GrantRefusal>(It - RefusalNames.begin());
    Response.m_stamp = decodeStamp(Object.at("stamp"));
    Response.m_busy.clear();
    for (const json &Partition : Object.at("busy"))
      Response.m_busy.emplace_back(Partition.get<std::uint32_t>());
  } catch (const json::exception &) {
    return false;
  }
  return true;
}

} // namespace burdockpulley
