#ifndef JAYDRIFT_STANDIN_STORE_CALLED_HPP
#define JAYDRIFT_STANDIN_STORE_CALLED_HPP

#include <jaydrift/core/store_request.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Event: a call to the store has arrived.
struct store_called
{
    /// Identifies the call; its reply or drop repeats it.
    std::uint64_t number = 0;
    store_request request;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_CALLED_HPP
