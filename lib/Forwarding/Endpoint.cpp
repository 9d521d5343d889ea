#include "bergamotpaddle/Forwarding/Endpoint.h"

#include "bergamotpaddle/Support/Text.h"

namespace bergamotpaddle {

absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  const auto port =
    colon == std::string::npos
      ? std::nullopt
      : ParseNumber<std::uint16_t>(std::string_view(aText).substr(colon + 1));
  if (!port) {
    return absl::InvalidArgumentError(Cat("'", aText, "' is not IP:PORT"));
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(aText.substr(0, colon), error);
  if (error) {
    return absl::InvalidArgumentError(
      Cat("'", aText, "' does not begin with an IP address"));
  }
  return boost::asio::ip::tcp::endpoint(ip, *port);
}

} // namespace bergamotpaddle
