#ifndef JAYDRIFT_NET_RPC_LIMITS_HPP
#define JAYDRIFT_NET_RPC_LIMITS_HPP

#include <capnp/message.h>

#include <cstddef>
#include <cstdint>

/// Bounds that keep one peer from exhausting a process.
namespace jaydrift::net {

inline constexpr std::uint64_t max_message_words =
    (std::uint64_t{64} << 20) / sizeof(capnp::word);

/// Words of calls in progress on a connection; beyond it, the server reads no
/// further calls from that connection until some are answered.
inline constexpr std::uint64_t max_connection_words = 2 * max_message_words;

/// Calls in flight per address and service, and per server.
inline constexpr std::size_t max_calls = 4096;

/// Connections per server.
inline constexpr std::size_t max_connections = 1024;

inline capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_message_words;
    options.nestingLimit = 32;
    return options;
}

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_LIMITS_HPP
