#include "burdockpulley/etcd_store.h"

#include "burdockpulley/http.h"
#include "etcd_codec.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr std::uint32_t MaxConnections = 4;

json encodeQuery(const StoreQuery &Query) {
  json Call = {{"key", encodeBase64(Query.m_key)}};
  if (Query.m_prefix)
    Call["range_end"] = encodeBase64(detail::prefixEnd(Query.m_key));
  if (Query.m_modifiedSince.value() > 0)
    Call["min_mod_revision"] = std::to_string(Query.m_modifiedSince.value());
  return Call;
}

json encodeWrite(const StoreWrite &Write) {
  if (Write.m_delete)
    return {{"requestDeleteRange", {{"key", encodeBase64(Write.m_key)}}}};
  json Put = {{"key", encodeBase64(Write.m_key)},
              {"value", encodeBase64(Write.m_value)}};
  if (Write.m_lease.value() != 0)
    Put["lease"] = std::to_string(Write.m_lease.value());
  return {{"requestPut", Put}};
}

json encodeTransaction(const StoreTransaction &Change) {
  json Call = {{"compare", json::array()}, {"success", json::array()}};
  for (const StoreCondition &Condition : Change.m_conditions)
    Call["compare"].push_back(
        {{"key", encodeBase64(Condition.m_key)},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(Condition.m_modified.value())}});
  for (const StoreWrite &Write : Change.m_writes)
    Call["success"].push_back(encodeWrite(Write));
  return Call;
}

StoreVersion readVersion(const json &Answer) {
  auto Header = Answer.find("header");
  if (Header == Answer.end())
    return {};
  return StoreVersion(detail::readInt64(*Header, "revision"));
}

StoreReply<StoreRange> decodeRange(const json &Answer) {
  StoreRange Range;
  Range.m_version = readVersion(Answer);
  auto Entries = Answer.find("kvs");
  if (Entries == Answer.end())
    return Range;
  for (const json &Entry : *Entries)
    Range.m_entries.push_back(
        {decodeBase64(Entry.value("key", "")),
         decodeBase64(Entry.value("value", "")),
         StoreVersion(detail::readInt64(Entry, "mod_revision"))});
  return Range;
}

StoreReply<StoreCommit> decodeCommit(const json &Answer) {
  return StoreCommit{Answer.value("succeeded", false), readVersion(Answer)};
}

StoreReply<StoreLease> decodeGrant(const json &Answer) {
  return StoreLease(detail::readInt64(Answer, "ID"));
}

StoreReply<StoreLease> decodeKeepAlive(const json &Answer) {
  auto Result = Answer.find("result");
  const json &Body = Result == Answer.end() ? Answer : *Result;
  if (detail::readInt64(Body, "TTL") <= 0)
    return StoreError::LeaseExpired;
  return StoreLease(detail::readInt64(Body, "ID"));
}

StoreError translate(HttpError Error) {
  return Error == HttpError::ConnectFailed ? StoreError::Unreachable
                                           : StoreError::Unknown;
}

/// Sends one call and gives its decoded answer to \p Done.
template <class Answer, class Decoder>
void callStore(HttpClient &Client, Duration Timeout, const char *Path,
               const json &Call, Decoder Decode, StoreCallback<Answer> Done) {
  HttpRequest Request{
      "POST", Path, {{"Content-Type", "application/json"}}, Call.dump()};
  Client.call(std::move(Request), Timeout,
              [Decode, Done = std::move(Done)](HttpError Error,
                                               HttpResponse &&Response) {
                if (Error != HttpError::None)
                  return Done(translate(Error));
                if (Response.m_status >= 400 && Response.m_status < 500)
                  return Done(StoreError::Refused);
                // A gateway that is up before its store answers 5xx.
                if (Response.m_status != 200)
                  return Done(StoreError::Unknown);
                json Body = json::parse(Response.m_body, nullptr, false);
                if (!Body.is_object())
                  return Done(StoreError::BadAnswer);
                Done(Decode(Body));
              });
}

} // namespace

EtcdStore::EtcdStore(event_base *Base, const Endpoint &Server,
                     Duration CallTimeout)
    : m_client(std::make_unique<HttpClient>(Base, Server, MaxConnections)),
      m_callTimeout(CallTimeout) {}

EtcdStore::~EtcdStore() = default;

void EtcdStore::read(const StoreQuery &Query, StoreCallback<StoreRange> Done) {
  callStore<StoreRange>(*m_client, m_callTimeout, detail::RangePath,
                        encodeQuery(Query), decodeRange, std::move(Done));
}

void EtcdStore::commit(const StoreTransaction &Change,
                       StoreCallback<StoreCommit> Done) {
  callStore<StoreCommit>(*m_client, m_callTimeout, detail::TxnPath,
                         encodeTransaction(Change), decodeCommit,
                         std::move(Done));
}

void EtcdStore::grantLease(Duration TimeToLive,
                           StoreCallback<StoreLease> Done) {
  std::int64_t Seconds = (TimeToLive.count() + 999'999) / 1'000'000;
  callStore<StoreLease>(*m_client, m_callTimeout, detail::LeaseGrantPath,
                        json{{"TTL", std::to_string(Seconds)}}, decodeGrant,
                        std::move(Done));
}

void EtcdStore::keepAlive(StoreLease Lease, StoreCallback<StoreLease> Done) {
  callStore<StoreLease>(*m_client, m_callTimeout, detail::LeaseKeepAlivePath,
                        json{{"ID", std::to_string(Lease.value())}},
                        decodeKeepAlive, std::move(Done));
}

} // namespace burdockpulley
