#ifndef JAYDRIFT_APP_OPERATOR_TEXT_HPP
#define JAYDRIFT_APP_OPERATOR_TEXT_HPP

#include <string>
#include <string_view>

namespace jaydrift {
struct job_status;
struct operator_reply;
struct policy_document;
} // namespace jaydrift

namespace jaydrift::app {

/// Formats a policy as one table each for zones, kinds, classes and teams.
std::string format_policy(policy_document const& policy);

/// Formats the daemons and shards of a reply as tables.
std::string format_status(operator_reply const& reply);

/// Formats the progress of a job as a table.
std::string format_job(job_status const& job);

/// Returns one line that says why a command failed and what to do, without a
/// line break. `token` is the command's token, or empty if it has none.
///
/// @pre The reply's status is not `ok`.
std::string format_failure(operator_reply const& reply, std::string_view token);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPERATOR_TEXT_HPP
