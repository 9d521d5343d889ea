/// \file
/// The callers' interface of a router: it checks what comes in over HTTP, hands
/// requests to the router's decisions and writes their answers.
#pragma once

#include "bergamotpaddle/Net/HttpServer.h"
#include "bergamotpaddle/Router/RouterCore.h"

namespace bergamotpaddle {

/// Serves `/v1/models`, `/v1/chat/completions` and `/v1/services/NAME/PATH`.
/// All methods run on the event loop.
class CallerApi
{
public:
  /// \p aBootId distinguishes requests without a caller's key from those of
  /// other routers and lives. \p aPost runs a closure on the event loop.
  CallerApi(RouterCore& aRouter,
            std::string aBootId,
            std::function<void(std::function<void()>)> aPost);

  /// Whether \p aRequest is for this interface.
  static bool Serves(const HttpRequest& aRequest);

  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

  /// From now on new requests are refused.
  void SetRefusing() { m_refusing = true; }

private:
  void HandleModels(const HttpResponderPtr& aResponder) const;
  void HandleChat(const HttpRequest& aRequest,
                  const AccountId& aAccount,
                  const HttpResponderPtr& aResponder);
  void HandleService(const HttpRequest& aRequest,
                     const AccountId& aAccount,
                     const HttpResponderPtr& aResponder);
  void Begin(NewRequest aRequest, const HttpResponderPtr& aResponder);
  /// Puts the caller's key, or one of our own, into \p aDispatch; false if the
  /// header is not valid.
  bool SetKey(const HttpRequest& aRequest, Dispatch& aDispatch);

  RouterCore* m_router;
  std::string m_bootId;
  std::function<void(std::function<void()>)> m_post;
  std::uint64_t m_lastOwnKey = 0;
  bool m_refusing = false;
};

/// Writes the JSON error body of a failure.
void
SendFailure(const HttpResponderPtr& aResponder,
            ResultCode aCode,
            Ran aRan,
            const std::string& aMessage = "");

} // namespace bergamotpaddle
