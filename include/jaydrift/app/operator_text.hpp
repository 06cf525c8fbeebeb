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

/// Prints a policy as tables.
std::string policy_tables(policy_document const& policy);

/// Prints members and shards as tables.
std::string status_tables(operator_reply const& reply);

/// Prints the progress of a job as a table.
std::string job_table(job_status const& job);

/// Returns the line that says why a reply is no success and what to do.
/// `token` is empty for commands that have none.
///
/// @pre The reply's status is not `ok`.
std::string failure_line(operator_reply const& reply, std::string_view token);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPERATOR_TEXT_HPP
