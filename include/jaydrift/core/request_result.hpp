#ifndef JAYDRIFT_CORE_REQUEST_RESULT_HPP
#define JAYDRIFT_CORE_REQUEST_RESULT_HPP

#include <jaydrift/core/request_outcome.hpp>

#include <string>

namespace jaydrift {

/// Result of an urgent request.
struct request_result
{
    request_outcome outcome = request_outcome::not_run;
    std::string answer;

    /// Why the request was not run or its result is unknown.
    std::string reason;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_REQUEST_RESULT_HPP
