#include "bergamotpaddle/Wire/Messages.h"

#include "bergamotpaddle/Support/MessagePack.h"

#include <absl/strings/str_cat.h>

namespace bergamotpaddle {

namespace {

constexpr std::uint32_t kEnvelopeFields = 3;

/// Unpacks \p aObject as alternative number \p aIndex of Message, trying the
/// alternatives from \p Index on; false if there is none.
template<std::size_t Index = 0>
bool
UnpackAlternative(std::size_t aIndex,
                  const msgpack::object& aObject,
                  Message& aMessage)
{
  if constexpr (Index == std::variant_size_v<Message>) {
    return false;
  } else {
    if (aIndex != Index) {
      return UnpackAlternative<Index + 1>(aIndex, aObject, aMessage);
    }
    aMessage.emplace<Index>();
    aObject.convert(std::get<Index>(aMessage));
    return true;
  }
}

} // namespace

std::string
Encode(const Envelope& aEnvelope)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kEnvelopeFields);
  packer.pack(aEnvelope.m_logicalTime);
  packer.pack(static_cast<std::uint32_t>(aEnvelope.m_message.index()));
  std::visit([&](const auto& aMessage) { packer.pack(aMessage); },
             aEnvelope.m_message);
  return { buffer.data(), buffer.size() };
}

absl::StatusOr<Envelope>
Decode(std::string_view aFrame)
{
  try {
    const msgpack::object_handle handle = UnpackMessage(aFrame);
    const msgpack::object& root = handle.get();
    if (root.type != msgpack::type::ARRAY ||
        root.via.array.size != kEnvelopeFields) {
      return absl::InvalidArgumentError(
        "frame is not an envelope; check that both ends run the same version");
    }
    Envelope envelope;
    root.via.array.ptr[0].convert(envelope.m_logicalTime);
    const auto index = root.via.array.ptr[1].as<std::uint32_t>();
    if (!UnpackAlternative(index, root.via.array.ptr[2], envelope.m_message)) {
      return absl::InvalidArgumentError(
        absl::StrCat("message number ",
                     index,
                     " is unknown; check that both ends run the same version"));
    }
    return envelope;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
      absl::StrCat("frame does not decode: ", error.what()));
  }
}

} // namespace bergamotpaddle
