#include "bergamotpaddle/Forwarding/Endpoint.h"

#include "bergamotpaddle/Support/Text.h"

namespace bergamotpaddle {

namespace {

/// Connections that the kernel queues until they are accepted; callers connect
/// in bursts.
constexpr int kBacklog = 1024;

} // namespace

absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  const auto port =
    colon == std::string::npos
      ? std::nullopt
      : ParseNumber<std::uint16_t>(std::string_view(aText).substr(colon + 1));
  if (!port) {
    return absl::InvalidArgumentError(
      Cat("'", aText, "' is not of the form IP:PORT"));
  }
  boost::system::error_code error;
  const std::string ipText = aText.substr(0, colon);
  const auto ip = boost::asio::ip::make_address(ipText, error);
  // make_address() ignores what follows a null character.
  if (error || ipText.find('\0') != std::string::npos) {
    return absl::InvalidArgumentError(
      Cat("'", aText, "' does not start with a valid IP address"));
  }
  return boost::asio::ip::tcp::endpoint(ip, *port);
}

absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseRemoteEndpoint(const std::string& aText)
{
  auto endpoint = ParseEndpoint(aText);
  if (!endpoint.ok()) {
    return endpoint;
  }
  const boost::asio::ip::address ip = endpoint->address();
  const bool isBroadcast =
    ip.is_v4() && ip.to_v4() == boost::asio::ip::address_v4::broadcast();
  if (endpoint->port() == 0 || ip.is_unspecified() || ip.is_multicast() ||
      isBroadcast) {
    return absl::InvalidArgumentError(
      Cat("'", aText, "' does not accept connections"));
  }
  return endpoint;
}

absl::Status
ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  try {
    aAcceptor.open(endpoint->protocol());
    aAcceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    aAcceptor.bind(*endpoint);
    aAcceptor.listen(kBacklog);
  } catch (const boost::system::system_error& error) {
    return absl::UnavailableError(
      Cat("cannot listen on ", aAddress, ": ", error.what()));
  }
  return absl::OkStatus();
}

} // namespace bergamotpaddle
