#ifndef BURDOCKPULLEY_LIBSTORE_ETCD_CODEC_H
#define BURDOCKPULLEY_LIBSTORE_ETCD_CODEC_H

#include "burdockpulley/base64.h"
#include "burdockpulley/store.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace burdockpulley {
namespace detail {

/// Paths of the calls, as the etcd version 3 gateway names them.
constexpr const char *RangePath = "/v3/kv/range";
constexpr const char *TxnPath = "/v3/kv/txn";
constexpr const char *LeaseGrantPath = "/v3/lease/grant";
constexpr const char *LeaseKeepAlivePath = "/v3/lease/keepalive";

/// The end of the range of keys that start with a prefix.
std::string prefixEnd(std::string Prefix);

/// Reads a 64-bit number that the protocol writes as a string; 0 if absent.
std::int64_t readInt64(const nlohmann::json &Object, const char *Name);

} // namespace detail
} // namespace burdockpulley

#endif
