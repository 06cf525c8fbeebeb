#ifndef JAYDRIFT_SCENARIO_CALLER_ANSWER_HPP
#define JAYDRIFT_SCENARIO_CALLER_ANSWER_HPP

#include <jaydrift/core/request_result.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <string>

namespace jaydrift::scenario {

/// An answer that a caller got.
struct caller_answer
{
    std::string request;
    std::string daemon;
    request_result result;
    time_ms asked_at;
    time_ms answered_at;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_CALLER_ANSWER_HPP
