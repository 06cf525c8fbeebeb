#ifndef JAYDRIFT_DECIDE_CANCEL_RECORD_HPP
#define JAYDRIFT_DECIDE_CANCEL_RECORD_HPP

#include <string>

namespace jaydrift::decide {

/// A job was cancelled.
struct cancel_record
{
    std::string job;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_CANCEL_RECORD_HPP
