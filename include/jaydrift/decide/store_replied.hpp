#ifndef JAYDRIFT_DECIDE_STORE_REPLIED_HPP
#define JAYDRIFT_DECIDE_STORE_REPLIED_HPP

#include <jaydrift/core/store_reply.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// The store replied to the request with this correlation number.
struct store_replied
{
    std::uint64_t correlation = 0;
    store_reply reply;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_STORE_REPLIED_HPP
