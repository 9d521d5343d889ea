/// \file
/// The key-value service over HTTP with JSON bodies, as docs/PLATFORM.md has
/// it.
#pragma once

#include "bergamotpaddle/Net/HttpClient.h"
#include "bergamotpaddle/Platform/KeyValue.h"

namespace bergamotpaddle {

/// Counts of calls to the service, for /metrics.
struct KeyValueCallCounts
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_watches = 0;
  std::uint64_t m_unavailable = 0;
};

/// Hooks that call the service at \p aBaseUrl ("http://127.0.0.1:7000").
/// \p aClient and \p aCounts must outlive them.
KeyValueHooks
MakeHttpKeyValue(HttpClient& aClient,
                 const std::string& aBaseUrl,
                 KeyValueCallCounts& aCounts);

} // namespace bergamotpaddle
