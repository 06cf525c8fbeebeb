#ifndef JAYDRIFT_NET_JSON_HPP
#define JAYDRIFT_NET_JSON_HPP

#include <jaydrift/core/job_spec.hpp>
#include <jaydrift/core/job_status.hpp>
#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/policy_document.hpp>

#include <string>
#include <string_view>

namespace jaydrift::net {

/// Parses a policy document. Absent fields keep their defaults.
///
/// @throws document_error if the text is larger than 1 MB or not valid JSON, or
/// if a field is unknown, given twice or has a wrong type or value; the message
/// names the field's path.
policy_document parse_policy(std::string_view json);

/// Prints a policy document as JSON that `parse_policy` can read.
std::string print_policy(policy_document const& policy);

/// Parses the specification of a batch job. Absent fields keep their defaults.
///
/// @throws document_error as `parse_policy` does.
job_spec parse_job(std::string_view json);

/// Prints the specification of a batch job as JSON that `parse_job` can read.
std::string print_job(job_spec const& job);

/// Print a message as JSON, with the field names of the schema.
std::string print_job_status(job_status const& status);
std::string print_operator_reply(operator_reply const& reply);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_JSON_HPP
