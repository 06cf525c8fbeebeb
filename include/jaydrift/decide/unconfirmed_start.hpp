#ifndef JAYDRIFT_DECIDE_UNCONFIRMED_START_HPP
#define JAYDRIFT_DECIDE_UNCONFIRMED_START_HPP

#include <jaydrift/core/time_ms.hpp>

#include <string>

namespace jaydrift::decide {

/// A reservation of a start whose reply was lost; the task may still run.
struct unconfirmed_start
{
    time_ms until;
    std::string worker;
    std::string task;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_UNCONFIRMED_START_HPP
