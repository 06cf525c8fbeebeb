#include <jaydrift/schedule/guest_submissions.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/task_assignments.hpp>

#include <algorithm>
#include <variant>

namespace jaydrift::schedule::guest_submissions {

namespace {

constexpr time_ms read_time_limit{1000};

/// Time between a read that has failed, or has found nothing, and the next one.
constexpr time_ms failed_pause{150};
constexpr time_ms absent_pause{1000};

void send(shard_context& ctx, std::string const& id, guest_read& read)
{
    read.call = store_session::call(
        ctx, store_purpose::read_guest,
        read_record{{record_kind::submission, id, read.home}}, read_time_limit);
}

/// Returns whether a task of another shard's submission is in this shard.
bool is_guest_task(shard_context const& ctx,
                   task_assignment_record const& record)
{
    return record.shard == ctx.shard.number && record.home != ctx.shard.number;
}

bool is_needed(shard_context const& ctx, std::string const& id)
{
    auto const& known = ctx.state.task_assignments;
    return !ctx.shard.submissions.contains(id)
           && std::any_of(known.begin(), known.end(), [&](auto const& each) {
                  auto const& record = each.second.record;
                  return record.task.submission == id
                         && is_guest_task(ctx, record);
              });
}

} // namespace

void load(shard_context& ctx, std::string const& id, std::uint32_t home)
{
    auto const [found, added] = ctx.shard.guest_reads.try_emplace(id);
    if (added)
    {
        found->second.home = home;
        send(ctx, id, found->second);
    }
}

bool all_loaded(shard_context const& ctx)
{
    auto const& known = ctx.state.task_assignments;
    return std::all_of(known.begin(), known.end(), [&ctx](auto const& each) {
        auto const& record = each.second.record;
        auto const& id = record.task.submission;
        auto const read = ctx.shard.guest_reads.find(id);
        return !is_guest_task(ctx, record) || ctx.shard.submissions.contains(id)
               || (read != ctx.shard.guest_reads.end() && read->second.absent);
    });
}

void replied(shard_context& ctx, store_replied const& reply)
{
    auto& reads = ctx.shard.guest_reads;
    auto const found =
        std::find_if(reads.begin(), reads.end(), [&reply](auto const& each) {
            return each.second.call == reply.call;
        });
    if (found == reads.end())
    {
        return;
    }
    auto& [id, read] = *found;
    read.call.reset();
    if (reply.status != store_status::ok
        && reply.status != store_status::not_found)
    {
        read.retry_at = ctx.now + failed_pause;
        return;
    }
    auto const* const record =
        reply.items.empty()
            ? nullptr
            : std::get_if<submission_record>(&reply.items.front().record);
    // Occurrences of a repeated submission have no assignments.
    if (!record || record->id != id || record->work.repeat_count > 0)
    {
        read.absent = true;
        read.retry_at = ctx.now + absent_pause;
        ctx.log_work(log_level::warning, "placement",
                     "submission " + id + " of shard "
                         + std::to_string(read.home)
                         + " has tasks in this shard and cannot be read");
        return;
    }
    if (!submissions::find(ctx, id))
    {
        submissions::add_guest(ctx, *record, read.home);
    }
    reads.erase(found);
    task_assignments::reconcile(ctx);
}

void tick(shard_context& ctx)
{
    if (!holds_shard(ctx.shard.ownership.role))
    {
        return;
    }
    auto const idle = [&ctx](guest_read const& read) {
        return !read.call && ctx.now >= read.retry_at;
    };
    std::erase_if(ctx.shard.guest_reads, [&](auto const& each) {
        return idle(each.second) && !is_needed(ctx, each.first);
    });
    for (auto& [id, read] : ctx.shard.guest_reads)
    {
        if (idle(read))
        {
            send(ctx, id, read);
        }
    }
}

} // namespace jaydrift::schedule::guest_submissions
