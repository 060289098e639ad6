#include "owned_block.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <memory>

namespace burdockpulley::detail {

namespace {

struct OwnedBlock {
  std::string m_bytes;
  MemoryCharge m_charge;
};

} // namespace

void writeOwned(bufferevent *Stream, std::string &&Bytes,
                MemoryCharge &&Charge) {
  if (Bytes.empty())
    return;
  auto Block = std::make_unique<OwnedBlock>(
      OwnedBlock{std::move(Bytes), std::move(Charge)});
  Block->m_charge.resize(residentBytes(Block->m_bytes) + sizeof(OwnedBlock));
  evbuffer *Output = bufferevent_get_output(Stream);
  int Added = evbuffer_add_reference(
      Output, Block->m_bytes.data(), Block->m_bytes.size(),
      [](const void *, std::size_t, void *Owned) {
        delete static_cast<OwnedBlock *>(Owned);
      },
      Block.get());
  if (Added == 0)
    (void)Block.release(); // The buffer's cleanup function deletes it.
}

void writeShared(bufferevent *Stream,
                 std::shared_ptr<const std::string> Bytes) {
  if (!Bytes || Bytes->empty())
    return;
  using Reference = std::shared_ptr<const std::string>;
  auto Block = std::make_unique<Reference>(std::move(Bytes));
  const std::string &Text = **Block;
  int Added = evbuffer_add_reference(
      bufferevent_get_output(Stream), Text.data(), Text.size(),
      [](const void *, std::size_t, void *Shared) {
        delete static_cast<Reference *>(Shared);
      },
      Block.get());
  if (Added == 0)
    (void)Block.release(); // The buffer's cleanup function deletes it.
}

void discardOutput(bufferevent *Stream) {
  evbuffer *Output = bufferevent_get_output(Stream);
  // A bufferevent keeps the front of its output frozen except while it writes.
  evbuffer_unfreeze(Output, 1);
  evbuffer_drain(Output, evbuffer_get_length(Output));
}

} // namespace burdockpulley::detail
