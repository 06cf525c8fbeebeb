#ifndef JAYDRIFT_STANDIN_DROP_STORE_CALL_HPP
#define JAYDRIFT_STANDIN_DROP_STORE_CALL_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Forgets a call to the store; the caller never hears.
struct drop_store_call
{
    std::uint64_t number = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_DROP_STORE_CALL_HPP
