#ifndef JAYDRIFT_SCENARIO_CALLER_ANSWER_HPP
#define JAYDRIFT_SCENARIO_CALLER_ANSWER_HPP

#include <jaydrift/core/request_result.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <string>

namespace jaydrift::scenario {

/// The answer of a daemon to one attempt of a caller. Times are on the
/// scenario's clock.
struct caller_answer
{
    std::string request_id;
    std::string daemon;
    request_result result;
    time_ms sent_at;
    time_ms received_at;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_CALLER_ANSWER_HPP
