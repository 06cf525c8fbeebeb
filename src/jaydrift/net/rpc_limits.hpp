#ifndef JAYDRIFT_NET_RPC_LIMITS_HPP
#define JAYDRIFT_NET_RPC_LIMITS_HPP

#include <capnp/message.h>

#include <cstddef>
#include <cstdint>

/// Limits that keep a peer from exhausting the memory, connections or stack of
/// a process.
namespace jaydrift::net {

/// Largest message: 64 MB, in words.
inline constexpr std::uint64_t max_message_words =
    (std::uint64_t{64} << 20) / sizeof(capnp::word);

/// Words of the calls in flight on a connection to a server. Beyond it, the
/// server reads no further calls from that connection until some are answered.
inline constexpr std::uint64_t max_connection_call_words =
    2 * max_message_words;

/// Calls in flight: of a client per address and service, and of a server.
inline constexpr std::size_t max_calls_in_flight = 4096;

/// Open connections per server.
inline constexpr std::size_t max_connections = 1024;

/// Nested structs and lists in a message.
inline constexpr int max_nesting_depth = 32;

/// Limits for reading a message from a peer.
inline capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_message_words;
    options.nestingLimit = max_nesting_depth;
    return options;
}

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_LIMITS_HPP
