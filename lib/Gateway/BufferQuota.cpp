#include "bergamotpaddle/Gateway/BufferQuota.h"

#include <utility>

namespace bergamotpaddle {

BufferId
BufferQuota::Add(EvictHook aOnEvict)
{
  const BufferId id = m_nextId++;
  m_buffers[id].m_onEvict = std::move(aOnEvict);
  return id;
}

void
BufferQuota::Resize(BufferId aId, std::uint64_t aBytes)
{
  const auto found = m_buffers.find(aId);
  if (found == m_buffers.end() || found->second.m_isEvicted) {
    return;
  }
  m_bytes += aBytes - found->second.m_bytes;
  found->second.m_bytes = aBytes;
  while (m_bytes > m_maxBytes && EvictLargest()) {
  }
}

void
BufferQuota::Complete(BufferId aId)
{
  if (const auto found = m_buffers.find(aId); found != m_buffers.end()) {
    found->second.m_onEvict = nullptr;
  }
}

void
BufferQuota::Remove(BufferId aId)
{
  const auto found = m_buffers.find(aId);
  if (found == m_buffers.end()) {
    return;
  }
  if (!found->second.m_isEvicted) {
    m_bytes -= found->second.m_bytes;
  }
  m_buffers.erase(found);
}

bool
BufferQuota::EvictLargest()
{
  Buffer* largest = nullptr;
  for (auto& [id, buffer] : m_buffers) {
    const bool isLarger =
      largest == nullptr || buffer.m_bytes > largest->m_bytes;
    if (buffer.m_onEvict && buffer.m_bytes > 0 && isLarger) {
      largest = &buffer;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  ++m_evictions;
  m_bytes -= largest->m_bytes;
  largest->m_isEvicted = true;
  // The hook may remove the buffer.
  std::exchange(largest->m_onEvict, nullptr)();
  return true;
}

} // namespace bergamotpaddle
