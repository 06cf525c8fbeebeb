#ifndef JAYDRIFT_DECIDE_REQUEST_STATE_HPP
#define JAYDRIFT_DECIDE_REQUEST_STATE_HPP

namespace jaydrift::decide {

/// State of the request module.
struct request_state
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_STATE_HPP
