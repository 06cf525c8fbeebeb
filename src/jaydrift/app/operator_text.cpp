#include <jaydrift/app/operator_text.hpp>

#include <algorithm>

#include <jaydrift/app/text_table.hpp>
#include <jaydrift/core/operator_reply.hpp>

namespace jaydrift::app {

namespace {

std::string_view name_of(task_class priority)
{
    switch (priority)
    {
    case task_class::urgent:
        return "urgent";
    case task_class::service:
        return "service";
    case task_class::batch:
        return "batch";
    case task_class::background:
        break;
    }
    return "background";
}

std::string_view name_of(job_state state)
{
    switch (state)
    {
    case job_state::waiting:
        return "waiting";
    case job_state::running:
        return "running";
    case job_state::finished:
        return "finished";
    case job_state::cancelled:
        return "cancelled";
    case job_state::parked:
        break;
    }
    return "parked";
}

/// Returns a reason or comment without line breaks, because a message is one
/// line.
std::string one_line(std::string_view text)
{
    std::string result(text.empty() ? "no reason was given" : text);
    std::ranges::replace(result, '\n', ' ');
    return result;
}

std::string format_zones(policy_document const& policy)
{
    text_table table({"zone", "region", "work may start"});
    for (auto const& zone : policy.zones)
    {
        table.add_row({zone.name, zone.region, zone.open ? "yes" : "no"});
    }
    return table.text();
}

std::string format_kinds(policy_document const& policy)
{
    text_table table({"kind", "class", "idempotent", "millicores", "memory MB",
                      "accelerators"});
    for (auto const& kind : policy.kinds)
    {
        table.add_row({kind.kind, std::string(name_of(kind.priority)),
                       kind.idempotent ? "yes" : "no",
                       std::to_string(kind.demand.millicores),
                       std::to_string(kind.demand.memory_mb),
                       std::to_string(kind.demand.accelerators)});
    }
    return table.text();
}

std::string format_shares(policy_document const& policy)
{
    text_table table({"class", "maximum share of a VM in %"});
    for (auto const& share : policy.shares)
    {
        table.add_row({std::string(name_of(share.priority)),
                       std::to_string(share.percent)});
    }
    return table.text();
}

std::string format_quotas(policy_document const& policy)
{
    text_table table({"team", "batch quota in millicores"});
    for (auto const& quota : policy.quotas)
    {
        table.add_row({quota.team, std::to_string(quota.millicores)});
    }
    return table.text();
}

} // namespace

std::string format_policy(policy_document const& policy)
{
    auto result = "Policy version " + std::to_string(policy.version);
    result += policy.comment.empty() ? "" : ": " + one_line(policy.comment);
    return result + "\n\n" + format_zones(policy) + '\n' + format_kinds(policy)
           + '\n' + format_shares(policy) + '\n' + format_quotas(policy);
}

std::string format_status(operator_reply const& reply)
{
    text_table members({"daemon", "address", "region", "zone", "state"});
    for (auto const& entry : reply.members)
    {
        auto const* const state = !entry.live      ? "dead"
                                  : entry.draining ? "draining"
                                                   : "live";
        members.add_row({entry.member.daemon, entry.member.address,
                         entry.member.region, entry.member.zone, state});
    }
    text_table shards({"shard", "epoch", "owner", "state", "workers", "urgent",
                       "batch", "waiting"});
    for (auto const& entry : reply.shards)
    {
        shards.add_row({to_string(entry.shard), std::to_string(entry.epoch),
                        entry.owner, entry.state, std::to_string(entry.workers),
                        std::to_string(entry.running_urgent),
                        std::to_string(entry.running_batch),
                        std::to_string(entry.waiting_batch)});
    }
    return "Policy version " + std::to_string(reply.version) + "\n\n"
           + members.text() + '\n' + shards.text();
}

std::string format_job(job_status const& job)
{
    text_table table({"job", "state", "tasks", "finished", "running",
                      "evictions", "reason"});
    table.add_row({job.id, std::string(name_of(job.state)),
                   std::to_string(job.task_count), std::to_string(job.finished),
                   std::to_string(job.running), std::to_string(job.evictions),
                   job.reason});
    return table.text();
}

std::string format_failure(operator_reply const& reply, std::string_view token)
{
    auto const version = std::to_string(reply.version);
    auto const advice =
        token.empty() ? std::string("repeat the command to learn its result")
                      : "repeat the command with --token " + std::string(token)
                            + " to learn its result";
    switch (reply.status)
    {
    case call_status::conflict:
        return "conflict: the current version is " + version
               + "; see `jaydriftctl policy show` and repeat with --based-on "
               + version;
    case call_status::pending:
        return "pending: " + one_line(reply.reason) + "; " + advice;
    case call_status::not_found:
        return "not found: " + one_line(reply.reason)
               + "; check the name and the region";
    case call_status::refused:
    case call_status::ok:
        break;
    }
    return "refused: " + one_line(reply.reason)
           + "; nothing changed, so correct this and repeat the command";
}

} // namespace jaydrift::app
