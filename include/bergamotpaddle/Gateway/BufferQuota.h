/// \file
/// Bounds the memory of messages that are being received.
///
/// Load pattern: faulty remote endpoints send bodies or events without end on
/// many connections at once. Their buffers grow until the quota is used up;
/// messages of other endpoints, which are small, must still be received.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

namespace bergamotpaddle {

/// Identifies a buffer of a `BufferQuota`.
using BufferId = std::uint64_t;

/// A quota for all buffers of one kind, in bytes. When the buffers exceed it,
/// the largest one is evicted, so that an endpoint that sends without end loses
/// its own message and not that of another endpoint.
class BufferQuota
{
public:
  /// Called when a buffer is evicted. It has to end the reception and release
  /// the bytes, which are not counted any more.
  using EvictHook = std::function<void()>;

  explicit BufferQuota(std::uint64_t aMaxBytes)
    : m_maxBytes(aMaxBytes)
  {
  }

  void SetMaxBytes(std::uint64_t aMaxBytes) { m_maxBytes = aMaxBytes; }

  /// Registers an empty buffer.
  BufferId Add(EvictHook aOnEvict);
  /// Sets the size of a buffer and evicts buffers as needed, possibly this one.
  void Resize(BufferId aId, std::uint64_t aBytes);
  /// Marks a message as complete. It is counted but not evicted any more.
  void Complete(BufferId aId);
  /// Removes a buffer; does nothing if there is none with this id.
  void Remove(BufferId aId);

  /// Size of all buffers that were not evicted.
  std::uint64_t Bytes() const { return m_bytes; }
  /// Number of buffers evicted so far.
  std::uint64_t Evictions() const { return m_evictions; }

private:
  struct Buffer
  {
    std::uint64_t m_bytes = 0;
    bool m_isEvicted = false;
    EvictHook m_onEvict; ///< Null if the buffer can't be evicted (any more).
  };

  /// Evicts the largest evictable buffer; false if there is none.
  bool EvictLargest();

  std::uint64_t m_maxBytes;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_evictions = 0;
  BufferId m_nextId = 1;
  std::map<BufferId, Buffer> m_buffers;
};

} // namespace bergamotpaddle
