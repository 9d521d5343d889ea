/// \file
/// HTTP API of a router for callers: validates requests, passes them to the
/// router core and writes the responses.
#pragma once

#include "bergamotpaddle/Net/HttpServer.h"
#include "bergamotpaddle/Router/RouterCore.h"

namespace bergamotpaddle {

/// Serves `/v1/models`, `/v1/chat/completions` and `/v1/services/NAME/PATH`.
/// All methods run on the event loop.
class CallerApi
{
public:
  /// \p aIncarnationId becomes part of the keys generated for requests without
  /// one, so that they differ from those of other routers and incarnations.
  /// \p aPost runs a closure on the event loop.
  CallerApi(RouterCore& aRouter,
            std::string aIncarnationId,
            std::function<void(std::function<void()>)> aPost);

  /// Whether the path of \p aRequest belongs to this API.
  static bool Serves(const HttpRequest& aRequest);

  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

  /// Refuses new requests from now on, except `/v1/models`.
  void SetRefusing() { m_isRefusing = true; }

private:
  void HandleModels(const HttpResponderPtr& aResponder) const;
  void HandleChat(const HttpRequest& aRequest,
                  const AccountId& aAccount,
                  const HttpResponderPtr& aResponder);
  void HandleService(const HttpRequest& aRequest,
                     const AccountId& aAccount,
                     const HttpResponderPtr& aResponder);
  void Begin(NewRequest aRequest, const HttpResponderPtr& aResponder);
  /// Sets the key of \p aDispatch from the Idempotency-Key header, or generates
  /// one if the header is absent. Returns false if the header is invalid.
  bool SetRequestKey(const HttpRequest& aRequest, Dispatch& aDispatch);

  RouterCore* m_router;
  std::string m_incarnationId;
  std::function<void(std::function<void()>)> m_post;
  std::uint64_t m_lastGeneratedKey = 0;
  bool m_isRefusing = false;
};

/// Sends the HTTP status of \p aCode with a JSON error body and, if the code
/// has one, Retry-After. \p aMessage as for FailureJson().
void
SendFailure(const HttpResponderPtr& aResponder,
            ResultCode aCode,
            Ran aRan,
            const std::string& aMessage = "");

} // namespace bergamotpaddle
