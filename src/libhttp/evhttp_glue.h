#ifndef BURDOCKPULLEY_LIBHTTP_EVHTTP_GLUE_H
#define BURDOCKPULLEY_LIBHTTP_EVHTTP_GLUE_H

#include "burdockpulley/http.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace burdockpulley {
namespace detail {

inline std::string drain(evbuffer *Buffer) {
  std::string Text(evbuffer_get_length(Buffer), '\0');
  evbuffer_remove(Buffer, Text.data(), Text.size());
  return Text;
}

inline std::vector<HttpHeader> readHeaders(evkeyvalq *Queue) {
  std::vector<HttpHeader> Headers;
  for (evkeyval *Entry = Queue->tqh_first; Entry; Entry = Entry->next.tqe_next)
    Headers.push_back({Entry->key, Entry->value});
  return Headers;
}

inline void writeHeaders(evkeyvalq *Queue,
                         const std::vector<HttpHeader> &Headers) {
  for (const HttpHeader &Header : Headers)
    evhttp_add_header(Queue, Header.m_name.c_str(), Header.m_value.c_str());
}

} // namespace detail
} // namespace burdockpulley

#endif
