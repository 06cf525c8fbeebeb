#ifndef JAYDRIFT_HTTP_READ_BUFFER_HPP
#define JAYDRIFT_HTTP_READ_BUFFER_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/optional/optional.hpp>

namespace jaydrift::http {

/// Capacity of the buffer of a connection. Most messages fit into it.
constexpr std::size_t read_buffer_bytes = 4096;

/// Highest capacity, for large bodies.
constexpr std::size_t max_read_buffer_bytes = std::size_t{1} << 16U;

/// Prepares a buffer for the rest of a message. Beast reads at most the
/// capacity of its buffer at once, 512 bytes if the capacity is smaller, and
/// each read takes a turn of the event loop.
inline void reserve_for_message(boost::beast::flat_buffer& buffer,
                                boost::optional<std::uint64_t> body_left)
{
    auto const wanted =
        std::min<std::uint64_t>(body_left.value_or(0), max_read_buffer_bytes);
    buffer.reserve(
        std::max(read_buffer_bytes, static_cast<std::size_t>(wanted)));
}

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_READ_BUFFER_HPP
