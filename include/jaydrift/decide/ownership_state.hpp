#ifndef JAYDRIFT_DECIDE_OWNERSHIP_STATE_HPP
#define JAYDRIFT_DECIDE_OWNERSHIP_STATE_HPP

namespace jaydrift::decide {

/// State of the ownership module.
struct ownership_state
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_OWNERSHIP_STATE_HPP
