#include "burdockpulley/etcd_store.h"
#include "burdockpulley/store_state.h"
#include "etcd_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace burdockpulley {

using nlohmann::json;

namespace {

json header(StoreVersion Version) {
  return {{"revision", std::to_string(Version.value())}};
}

json answerRange(const StoreState &State, const json &Call) {
  StoreQuery Query;
  Query.m_key = decodeBase64(Call.value("key", ""));
  std::string End = decodeBase64(Call.value("range_end", ""));
  Query.m_prefix = !End.empty();
  Query.m_modifiedSince =
      StoreVersion(detail::readInt64(Call, "min_mod_revision"));
  StoreRange Range = State.read(Query);
  json Entries = json::array();
  for (const StoreEntry &Entry : Range.m_entries)
    Entries.push_back(
        {{"key", encodeBase64(Entry.m_key)},
         {"value", encodeBase64(Entry.m_value)},
         {"mod_revision", std::to_string(Entry.m_modified.value())}});
  return {{"header", header(Range.m_version)}, {"kvs", Entries}};
}

StoreWrite decodeWrite(const json &Operation) {
  StoreWrite Write;
  Write.m_delete = Operation.contains("requestDeleteRange");
  const json &Body =
      Operation.at(Write.m_delete ? "requestDeleteRange" : "requestPut");
  Write.m_key = decodeBase64(Body.value("key", ""));
  Write.m_value = decodeBase64(Body.value("value", ""));
  Write.m_lease = StoreLease(detail::readInt64(Body, "lease"));
  return Write;
}

StoreTransaction decodeTransaction(const json &Call) {
  StoreTransaction Change;
  for (const json &Condition : Call.value("compare", json::array()))
    Change.m_conditions.push_back(
        {decodeBase64(Condition.value("key", "")),
         StoreVersion(detail::readInt64(Condition, "mod_revision"))});
  for (const json &Operation : Call.value("success", json::array()))
    Change.m_writes.push_back(decodeWrite(Operation));
  return Change;
}

bool tooLarge(const StoreTransaction &Change) {
  return std::any_of(Change.m_writes.begin(), Change.m_writes.end(),
                     [](const StoreWrite &Write) {
                       return Write.m_value.size() > MaxStoreValueBytes;
                     });
}

json answerTransaction(StoreState &State, const StoreTransaction &Change) {
  StoreCommit Commit = State.commit(Change);
  return {{"header", header(Commit.m_version)},
          {"succeeded", Commit.m_applied}};
}

json answerGrant(StoreState &State, const json &Call, Instant Now) {
  std::int64_t Seconds = detail::readInt64(Call, "TTL");
  StoreLease Lease = State.grantLease(std::chrono::seconds(Seconds), Now);
  return {{"ID", std::to_string(Lease.value())},
          {"TTL", std::to_string(Seconds)}};
}

json answerKeepAlive(StoreState &State, const json &Call, Instant Now) {
  StoreLease Lease(detail::readInt64(Call, "ID"));
  bool Alive = State.keepAlive(Lease, Now);
  return {
      {"result",
       {{"ID", std::to_string(Lease.value())}, {"TTL", Alive ? "1" : "0"}}}};
}

} // namespace

int answerEtcdCall(StoreState &State, std::string_view Path,
                   std::string_view Body, Instant Now, std::string &Answer) {
  json Call = json::parse(Body, nullptr, false);
  if (!Call.is_object()) {
    Answer = R"({"error":"the body is not a JSON object"})";
    return 400;
  }
  State.expire(Now);
  if (Path == detail::RangePath)
    Answer = answerRange(State, Call).dump();
  else if (Path == detail::TxnPath) {
    StoreTransaction Change = decodeTransaction(Call);
    if (tooLarge(Change)) {
      Answer = R"({"error":"a value is larger than 1 MiB"})";
      return 400;
    }
    Answer = answerTransaction(State, Change).dump();
  } else if (Path == detail::LeaseGrantPath)
    Answer = answerGrant(State, Call, Now).dump();
  else if (Path == detail::LeaseKeepAlivePath)
    Answer = answerKeepAlive(State, Call, Now).dump();
  else {
    Answer = R"({"error":"no such call"})";
    return 404;
  }
  return 200;
}

} // namespace burdockpulley
