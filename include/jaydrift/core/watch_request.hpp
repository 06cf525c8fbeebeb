#ifndef JAYDRIFT_CORE_WATCH_REQUEST_HPP
#define JAYDRIFT_CORE_WATCH_REQUEST_HPP

#include <cstdint>
#include <string>

namespace jaydrift {

/// Waits until a key with the prefix changes after a revision of the store.
struct watch_request
{
    std::string prefix;
    std::uint64_t after_revision = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_WATCH_REQUEST_HPP
