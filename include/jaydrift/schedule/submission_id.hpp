#ifndef JAYDRIFT_SCHEDULE_SUBMISSION_ID_HPP
#define JAYDRIFT_SCHEDULE_SUBMISSION_ID_HPP

#include <string_view>

namespace jaydrift::schedule {

/// Returns whether a text can be the ID of a submission: 16 hexadecimal digits.
bool is_submission_id(std::string_view text);

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SUBMISSION_ID_HPP
