#include <ostream>
#include <string>
#include <utility>

#include <jaydrift/app/operator_text.hpp>
#include <jaydrift/net/document_error.hpp>
#include <jaydrift/net/json.hpp>

#include "command_session.hpp"

namespace jaydrift::app {

namespace {

std::string format_job_reply(operator_reply const& reply)
{
    return format_job(reply.job);
}

std::string format_job_reply_as_json(operator_reply const& reply)
{
    return reply.status == call_status::ok ? net::print_job_status(reply.job)
                                           : net::print_operator_reply(reply);
}

/// Sends a `Request` about the job with the given ID and home region.
template<class Request>
int run_job_command(command_input const& input)
{
    command_session session(input);
    Request request;
    session.settings().argument("ID", request.id, "ID of the job.");
    session.settings().name("home-region", request.home_region,
                            "Region that the job was submitted for; if it is "
                            "not given, the region of the daemon that answers.",
                            process::presence::optional);
    if (auto const status = session.read_settings())
    {
        return *status;
    }
    return session.run(job_request(std::move(request)), format_job_reply,
                       format_job_reply_as_json);
}

} // namespace

int submit_job_command(command_input const& input)
{
    command_session session(input);
    std::string file;
    session.settings().argument(
        "FILE", file, "File with the job as JSON; - reads standard input.");
    if (auto const status = session.read_settings())
    {
        return *status;
    }
    job_spec job;
    try
    {
        job = net::parse_job(read_document(file));
    }
    catch (net::document_error const& error)
    {
        input.errors << "jaydriftctl: " << file << ": " << error.what() << '\n';
        return 1;
    }
    return session.run(job_request(std::move(job)), format_job_reply,
                       format_job_reply_as_json);
}

int show_job_command(command_input const& input)
{
    return run_job_command<show_job>(input);
}

int cancel_job_command(command_input const& input)
{
    return run_job_command<cancel_job>(input);
}

} // namespace jaydrift::app
