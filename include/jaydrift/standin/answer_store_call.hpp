#ifndef JAYDRIFT_STANDIN_ANSWER_STORE_CALL_HPP
#define JAYDRIFT_STANDIN_ANSWER_STORE_CALL_HPP

#include <jaydrift/core/store_reply.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Effect: answers a call to the store.
struct answer_store_call
{
    /// Number of the `store_called`.
    std::uint64_t number = 0;
    store_reply reply;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_ANSWER_STORE_CALL_HPP
