#ifndef JAYDRIFT_STANDIN_DROP_STORE_CALL_HPP
#define JAYDRIFT_STANDIN_DROP_STORE_CALL_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Effect: drops a call to the store, which stays unanswered.
struct drop_store_call
{
    /// Number of the `store_called`.
    std::uint64_t number = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_DROP_STORE_CALL_HPP
