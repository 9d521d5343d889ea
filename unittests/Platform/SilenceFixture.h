/// \file
/// A gateway whose upstreams fall silent, and what its callers receive.
#pragma once

#include "Loopback.h"

#include <catch2/catch.hpp>

namespace bergamotpaddle {

inline bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

inline std::string
BegunStream()
{
  return GatewayFixture::StreamHead() +
         GatewayFixture::Chunk("id: 1\ndata: a\n\n");
}

/// A stream that pauses after its first event.
inline ScriptedUpstream::Script
PausingStream(std::chrono::milliseconds aPause)
{
  return { BegunStream(),
           false,
           false,
           aPause,
           GatewayFixture::Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" };
}

/// A call that is answered late.
inline ScriptedUpstream::Script
LateResponse(std::chrono::milliseconds aDelay)
{
  return { "", false, false, aDelay, GatewayFixture::SealedResponse() };
}

inline bool
IsWholeStream(const std::string& aResponse)
{
  const auto occursOnce = [&aResponse](const std::string& aPart) {
    return Contains(aResponse, aPart) &&
           aResponse.find(aPart) == aResponse.rfind(aPart);
  };
  return occursOnce("data: a\n\n") && occursOnce("data: b\n\n") &&
         aResponse.ends_with("0\r\n\r\n");
}

/// A gateway whose routes leave time for a silence.
class SilenceFixture : public GatewayFixture
{
public:
  explicit SilenceFixture(int aMaxAttempts)
  {
    RoutingConfig config = Config();
    for (Route& route : config.m_routes) {
      route.m_timeout = std::chrono::milliseconds(4000);
      if (route.MayRunAgain()) {
        route.m_maxAttempts = aMaxAttempts;
      }
    }
    m_state.m_routes = std::make_shared<const RouteTable>(std::move(config));
  }

  std::string Call(const std::string& aPath)
  {
    std::string request = Request(aPath);
    const std::string timeout = "Timeout-Ms: 1500";
    request.replace(request.find(timeout), timeout.size(), "Timeout-Ms: 3500");
    return GatewayFixture::Call(request, std::chrono::milliseconds(5000));
  }

  /// Scripts the upstream that is chosen first with \p aFirst and the other one
  /// with \p aSecond.
  void Script(const ScriptedUpstream::Script& aFirst,
              const ScriptedUpstream::Script& aSecond)
  {
    m_firstUpstream.m_scripts = { aFirst };
    m_secondUpstream.m_scripts = { aFirst };
    m_state.m_onLoadChanged = [this, aSecond](const UpstreamId& aId,
                                              const std::vector<PromptPart>&) {
      if (SendCount() == 0) {
        m_chosen = aId;
        (aId == UpstreamId("u1") ? m_secondUpstream : m_firstUpstream)
          .m_scripts = { aSecond };
      }
    };
  }

  /// Consumes all retries of a budget that is full again after \p aWindow.
  void ExhaustRetries(std::chrono::milliseconds aWindow)
  {
    m_state.m_retries = RetryBudget({ 0, 1, aWindow, 1 });
    CHECK(m_state.m_retries.Consume(kService, m_state.Now()));
  }

  /// Calls \p aAction after \p aDelay.
  void After(std::chrono::milliseconds aDelay, std::function<void()> aAction)
  {
    auto timer = std::make_shared<asio::steady_timer>(m_io, aDelay);
    timer->async_wait([timer, action = std::move(aAction)](
                        const boost::system::error_code&) { action(); });
  }

  std::size_t SendCount() const
  {
    return m_firstUpstream.m_requests.size() +
           m_secondUpstream.m_requests.size();
  }

  const ServiceId kService{ "desk" };
  UpstreamId m_chosen; ///< Of the first exchange.
};

} // namespace bergamotpaddle
