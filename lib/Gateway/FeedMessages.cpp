#include "bergamotpaddle/Gateway/FeedMessages.h"

#include "bergamotpaddle/Support/Text.h"

namespace bergamotpaddle {

namespace {

template<typename Frame>
std::string
EncodeFrame(const Frame& aFrame)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aFrame);
  return { buffer.data(), buffer.size() };
}

template<typename Frame>
absl::StatusOr<Frame>
DecodeFrame(std::string_view aBytes)
{
  try {
    Frame frame;
    msgpack::unpack(aBytes.data(), aBytes.size()).get().convert(frame);
    if (frame.m_layout != FeedRequest::kLayout) {
      return absl::UnimplementedError(
        Cat("feed: unsupported layout ", frame.m_layout));
    }
    return frame;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(Cat("feed: ", error.what()));
  }
}

} // namespace

std::string
FeedRequest::Encode() const
{
  return EncodeFrame(*this);
}

absl::StatusOr<FeedRequest>
FeedRequest::Decode(std::string_view aBytes)
{
  return DecodeFrame<FeedRequest>(aBytes);
}

std::string
FeedResponse::Encode() const
{
  return EncodeFrame(*this);
}

absl::StatusOr<FeedResponse>
FeedResponse::Decode(std::string_view aBytes)
{
  return DecodeFrame<FeedResponse>(aBytes);
}

} // namespace bergamotpaddle
