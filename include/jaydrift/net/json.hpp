#ifndef JAYDRIFT_NET_JSON_HPP
#define JAYDRIFT_NET_JSON_HPP

#include <jaydrift/core/job_spec.hpp>
#include <jaydrift/core/job_status.hpp>
#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/policy_document.hpp>

#include <string>
#include <string_view>

namespace jaydrift::net {

/// Parses a policy document.
///
/// @throws document_error if a field is unknown or has a wrong type or value;
/// the message names its path.
policy_document parse_policy(std::string_view json);

/// Prints a policy document so that `parse_policy` reads it back.
std::string print_policy(policy_document const& policy);

/// Parses a batch job.
///
/// @throws document_error as `parse_policy` does.
job_spec parse_job(std::string_view json);

/// Prints a batch job so that `parse_job` reads it back.
std::string print_job(job_spec const& job);

std::string print_job_status(job_status const& status);
std::string print_operator_reply(operator_reply const& reply);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_JSON_HPP
