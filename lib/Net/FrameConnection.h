/// \file
/// One link, from its handshake to its last frame; private to Net.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <nng/nng.h>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// Notifications of a connection, called on nng's threads, and the counters
/// that it updates.
struct FrameConnectionHooks
{
  std::function<void()> m_opened;
  std::function<void(std::string)> m_received;
  std::function<void()> m_closed;
  std::atomic<std::uint64_t>* m_bytesReceived = nullptr;
  std::atomic<std::uint64_t>* m_bytesSent = nullptr;
};

/// One authenticated connection.
///
/// Each peer sends a nonce of 16 bytes; both derive the session key from the
/// fleet's secret and the two nonces. A frame consists of the length of its
/// content (4 bytes, big endian), the first 16 bytes of the HMAC-SHA-256 of
/// direction, sequence number and content, and the content. The first frame of
/// each peer is empty and proves that the peer knows the secret.
class FrameConnection
{
public:
  FrameConnection(std::string aSecret, FrameConnectionHooks aHooks);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  /// Starts to connect to \p aUrl.
  void Dial(const std::string& aUrl);
  /// Takes ownership of an accepted stream and starts the handshake.
  void Accept(nng_stream* aStream);
  /// Queues a frame; returns false as `LinkHub::Send` does.
  bool Send(std::string_view aFrame);
  void Close();

private:
  static void OnDialled(void* aSelf);
  static void OnReceived(void* aSelf);
  static void OnSent(void* aSelf);

  /// Starts the handshake on \p aStream.
  void Begin(nng_stream* aStream);
  void StartReceive();
  /// Sends pending bytes if no send is in progress. Requires m_mutex to be
  /// held.
  void StartSend();
  void AppendFrame(std::string_view aFrame);
  /// Parses all complete frames; returns false if one is invalid.
  bool ParseReceived();
  /// Derives the session key from the peer's nonce; returns false if the nonce
  /// is incomplete.
  bool ParseNonce();
  /// Sets \p aParsed to whether a complete frame was parsed. Returns false if
  /// the frame is too long or its tag is wrong.
  bool ParseFrame(bool& aParsed);
  /// Authentication tag of a frame.
  std::string Tag(bool aFromDialer,
                  std::uint64_t aSequence,
                  std::string_view aFrame) const;
  /// Closes the connection and reports that once.
  void Fail();

  std::string m_secret;
  FrameConnectionHooks m_hooks;
  bool m_isDialer = false;
  std::string m_localNonce;
  std::string m_sessionKey;

  nng_stream_dialer* m_dialer = nullptr;
  nng_stream* m_stream = nullptr;
  nng_aio* m_dialAio = nullptr;
  nng_aio* m_receiveAio = nullptr;
  nng_aio* m_sendAio = nullptr;

  // Receiving; used by nng's callback only.
  std::array<char, 65536> m_receiveBuffer{};
  std::string m_unparsed;
  std::uint64_t m_receivedFrames = 0;

  // Sending; protected by m_mutex.
  std::mutex m_mutex;
  std::string m_pending;
  std::string m_sendBuffer;
  std::size_t m_sendOffset = 0;
  std::uint64_t m_sentFrames = 0;
  bool m_isSending = false;
  bool m_isClosed = false;
};

} // namespace bergamotpaddle
