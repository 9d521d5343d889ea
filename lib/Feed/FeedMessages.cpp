#include "bergamotpaddle/Feed/FeedMessages.h"

#include "bergamotpaddle/Support/MessagePack.h"
#include "bergamotpaddle/Support/Text.h"

namespace bergamotpaddle {

namespace {

template<typename Message>
std::string
EncodeMessage(const Message& aMessage)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aMessage);
  return { buffer.data(), buffer.size() };
}

template<typename Message>
absl::StatusOr<Message>
DecodeMessage(std::string_view aBytes)
{
  try {
    Message message;
    UnpackMessage(aBytes).get().convert(message);
    if (message.m_layout != FeedRequest::kLayout) {
      return absl::UnimplementedError(
        Cat("feed: unsupported layout ", message.m_layout));
    }
    return message;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(Cat("feed: ", error.what()));
  }
}

} // namespace

std::string
FeedRequest::Encode() const
{
  return EncodeMessage(*this);
}

absl::StatusOr<FeedRequest>
FeedRequest::Decode(std::string_view aBytes)
{
  return DecodeMessage<FeedRequest>(aBytes);
}

std::string
FeedResponse::Encode() const
{
  return EncodeMessage(*this);
}

absl::StatusOr<FeedResponse>
FeedResponse::Decode(std::string_view aBytes)
{
  return DecodeMessage<FeedResponse>(aBytes);
}

} // namespace bergamotpaddle
