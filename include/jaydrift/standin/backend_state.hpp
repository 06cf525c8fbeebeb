#ifndef JAYDRIFT_STANDIN_BACKEND_STATE_HPP
#define JAYDRIFT_STANDIN_BACKEND_STATE_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/standin/backend_settings.hpp>
#include <jaydrift/standin/running_execution.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jaydrift::standin {

/// State of the stand-in of a backend server. A stand-in takes the place of a
/// part of the users' platform in tests, simulations and demonstrations.
struct backend_state
{
    backend_settings settings;
    random_source random;
    std::vector<running_execution> running;
    /// Number of started executions by request ID; a count above 1 is a
    /// duplicate execution.
    std::map<std::string, std::uint64_t> executions;
    /// Addition to the service time; see `backend_fault::slowness`.
    time_ms slowness;
    bool fail = false;
    bool draining = false;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_BACKEND_STATE_HPP
