#include <jaydrift/app/type_names.hpp>

#include <variant>

namespace jaydrift::app {

namespace {

using namespace decide;

/// Returns the name of each type. Overloads, unlike an array of names by
/// variant index, stay right when the order of the variants changes.
struct type_name_visitor
{
    std::string_view operator()(timer_due const&) { return "timer_due"; }
    std::string_view operator()(request_arrived const&)
    {
        return "request_arrived";
    }
    std::string_view operator()(job_arrived const&) { return "job_arrived"; }
    std::string_view operator()(operator_called const&)
    {
        return "operator_called";
    }
    std::string_view operator()(peer_called const&) { return "peer_called"; }
    std::string_view operator()(worker_replied const&)
    {
        return "worker_replied";
    }
    std::string_view operator()(worker_failed const&)
    {
        return "worker_failed";
    }
    std::string_view operator()(store_replied const&)
    {
        return "store_replied";
    }
    std::string_view operator()(store_failed const&) { return "store_failed"; }
    std::string_view operator()(peer_replied const&) { return "peer_replied"; }
    std::string_view operator()(peer_failed const&) { return "peer_failed"; }
    std::string_view operator()(stop_requested const&)
    {
        return "stop_requested";
    }
    std::string_view operator()(send_worker const&) { return "send_worker"; }
    std::string_view operator()(send_store const&) { return "send_store"; }
    std::string_view operator()(send_peer const&) { return "send_peer"; }
    std::string_view operator()(answer_caller const&)
    {
        return "answer_caller";
    }
    std::string_view operator()(answer_job const&) { return "answer_job"; }
    std::string_view operator()(answer_operator const&)
    {
        return "answer_operator";
    }
    std::string_view operator()(answer_peer const&) { return "answer_peer"; }
    std::string_view operator()(write_log const&) { return "write_log"; }
    std::string_view operator()(record_event const&) { return "record_event"; }
    std::string_view operator()(observe const&) { return "observe"; }
    std::string_view operator()(exit_process const&) { return "exit_process"; }
};

} // namespace

std::string_view type_name(event const& input)
{
    return std::visit(type_name_visitor(), input);
}

std::string_view type_name(effect const& output)
{
    return std::visit(type_name_visitor(), output);
}

} // namespace jaydrift::app
