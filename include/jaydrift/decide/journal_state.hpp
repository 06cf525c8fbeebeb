#ifndef JAYDRIFT_DECIDE_JOURNAL_STATE_HPP
#define JAYDRIFT_DECIDE_JOURNAL_STATE_HPP

namespace jaydrift::decide {

/// State of the journal module.
struct journal_state
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_STATE_HPP
