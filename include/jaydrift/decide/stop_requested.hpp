#ifndef JAYDRIFT_DECIDE_STOP_REQUESTED_HPP
#define JAYDRIFT_DECIDE_STOP_REQUESTED_HPP

namespace jaydrift::decide {

/// The process was asked to stop gracefully.
struct stop_requested
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_STOP_REQUESTED_HPP
