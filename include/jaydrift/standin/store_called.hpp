#ifndef JAYDRIFT_STANDIN_STORE_CALLED_HPP
#define JAYDRIFT_STANDIN_STORE_CALLED_HPP

#include <jaydrift/core/store_request.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// A call to the store has arrived.
struct store_called
{
    std::uint64_t number = 0;
    store_request request;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_CALLED_HPP
