#ifndef JAYDRIFT_STANDIN_DELAYED_ANSWER_HPP
#define JAYDRIFT_STANDIN_DELAYED_ANSWER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/answer_store_call.hpp>

namespace jaydrift::standin {

/// Reply that a slow store holds back until `due`.
struct delayed_answer
{
    time_ms due;
    answer_store_call answer;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_DELAYED_ANSWER_HPP
