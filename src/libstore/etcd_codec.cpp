#include "etcd_codec.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <cstdlib>

namespace burdockpulley {
namespace detail {

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty() && Prefix.back() == '\xff')
    Prefix.pop_back();
  if (Prefix.empty())
    return std::string(1, '\0');
  ++Prefix.back();
  return Prefix;
}

std::int64_t readInt64(const nlohmann::json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end())
    return 0;
  if (Found->is_number())
    return Found->get<std::int64_t>();
  if (!Found->is_string())
    return 0;
  return std::strtoll(Found->get_ref<const std::string &>().c_str(), nullptr,
                      10);
}

} // namespace detail
} // namespace burdockpulley
