#ifndef JAYDRIFT_DECIDE_BATCH_STATE_HPP
#define JAYDRIFT_DECIDE_BATCH_STATE_HPP

namespace jaydrift::decide {

/// State of the batch module.
struct batch_state
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_BATCH_STATE_HPP
