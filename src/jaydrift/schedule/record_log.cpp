#include <jaydrift/schedule/record_log.hpp>

#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/cancellations.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/fencing_tokens.hpp>
#include <jaydrift/schedule/interference.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/submissions.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace jaydrift::schedule::record_log {

namespace {

/// Shortest times for which changes are gathered into one transaction, without
/// and with a caller that waits for one of them.
constexpr time_ms gather_time{60};
constexpr time_ms caller_waiting_gather_time{5};

/// The former doubles with each transaction while start orders are held back,
/// and is halved with each one otherwise: starts need the link more.
constexpr std::uint32_t max_gather_doublings = 3;

/// The store's limit for the number of entries of one transaction.
constexpr std::size_t max_entries = 32;

constexpr time_ms refused_pause{60};

/// Interval of writes of the learned interference, a record of a few KB. A
/// successor has to learn again what was learned since the last write.
constexpr time_ms interference_interval{3000};

/// Returns the record of the progress of a submission.
progress_record progress_of(submission_state const& submission)
{
    progress_record record;
    record.id = submission.id;
    record.phase = submission.phase;
    record.started = submission.started;
    record.ended_at = submission.ended_at;
    for (auto const& occurrence : submission.occurrences)
    {
        auto& steps = record.occurrences.emplace_back();
        for (auto const& step : occurrence.steps)
        {
            auto& tasks = steps.emplace_back();
            for (auto const& task : step.tasks)
            {
                tasks.push_back({task.done, task.failed_runs,
                                 task.highest_ended_run, task.last_run,
                                 task.place ? task.place->worker : "",
                                 task.done ? "" : task.checkpoint});
            }
        }
    }
    return record;
}

/// Adds a submission to the transaction.
void append(shard_context& ctx, store_transaction& write,
            submission_state& submission)
{
    if (!submission.record_stored
        || submission.stored_terms != submission.terms)
    {
        write.puts.emplace_back(
            shard_key(ctx, record_kind::submission, submission.id),
            submission_record{submission.id, submission.queue,
                              submission.accepted_at, submission.work,
                              submission.terms});
    }
    write.puts.emplace_back(
        shard_key(ctx, record_kind::progress, submission.id),
        progress_of(submission));
    submission.start_written = submission.started;
    ctx.shard.record_log.in_flight_versions.emplace_back(submission.id,
                                                         submission.version);
}

/// Counts the entries that the limit of the store applies to.
std::size_t entry_count(store_transaction const& write)
{
    return write.expected.size() + write.puts.size() + write.removals.size();
}

/// Sends the transaction in flight, for the first time or again.
void send(shard_context& ctx)
{
    auto& log = ctx.shard.record_log;
    ++log.attempts;
    log.sent_at = ctx.now;
    log.time_limit = log.reply_time.limit();
    log.call = store_session::call(ctx, store_purpose::append, *log.in_flight,
                                   log.time_limit);
}

/// Returns the workers of the shard whose address is known.
fleet_record current_fleet(shard_context const& ctx)
{
    fleet_record result;
    for (auto const& [id, worker] : ctx.shard.workers)
    {
        if (!worker.entry.address.empty())
        {
            result.addresses.emplace(id, worker.entry.address);
        }
    }
    return result;
}

/// Returns the time for which changes are gathered while no caller waits. A
/// submission that changes often is then written once in that time. Over a slow
/// link, transactions are in flight for at most half of the time.
time_ms gather_time_of(record_log_state const& log)
{
    return std::max(gather_time * (std::int64_t{1} << log.gather_doublings),
                    log.reply_time.expected() * 2);
}

/// Makes the time for which changes are gathered follow the load of the link.
void update_gather_time(shard_context& ctx)
{
    auto& doublings = ctx.shard.record_log.gather_doublings;
    if (ctx.state.start_flow.held_back)
    {
        doublings = std::min(doublings + 1, max_gather_doublings);
    }
    else if (doublings > 0)
    {
        --doublings;
    }
}

/// Returns whether a transaction for callers that wait should hold only what
/// they wait for: over a slow link, the rest would delay it.
bool leaves_out_unawaited(record_log_state const& log)
{
    return gather_time_of(log) > gather_time;
}

/// Returns whether a caller waits for a change of the submission, or will ask
/// for its end.
bool is_awaited(submission_state const& submission)
{
    return !submission.waiters.empty() || ended(submission.phase);
}

/// Moves as many changed submissions as fit into the transaction, oldest first.
void append_dirty(shard_context& ctx, store_transaction& write,
                  bool awaited_only)
{
    auto& dirty = ctx.shard.record_log.dirty;
    std::deque<std::string> left_out;
    // A submission and its progress are two entries.
    while (!dirty.empty() && entry_count(write) + 2 <= max_entries)
    {
        auto id = std::move(dirty.front());
        dirty.pop_front();
        auto* const submission = submissions::find(ctx, id);
        if (!submission)
        {
            continue;
        }
        if (awaited_only && !is_awaited(*submission))
        {
            left_out.push_back(std::move(id));
            continue;
        }
        submission->dirty = false;
        append(ctx, write, *submission);
    }
    dirty.insert(dirty.begin(), std::make_move_iterator(left_out.begin()),
                 std::make_move_iterator(left_out.end()));
}

/// Adds records that are written once, as many as fit. Returns their IDs.
template<class States>
std::vector<std::string>
append_new(shard_context& ctx, store_transaction& write, record_kind kind,
           States const& states, std::deque<std::string>& ids)
{
    std::vector<std::string> result;
    while (!ids.empty() && entry_count(write) < max_entries)
    {
        auto id = std::move(ids.front());
        ids.pop_front();
        write.puts.emplace_back(shard_key(ctx, kind, id), states.at(id).record);
        result.push_back(std::move(id));
    }
    return result;
}

/// Removes such records, as many as fit.
void append_expired(shard_context& ctx, store_transaction& write,
                    record_kind kind, std::deque<std::string>& ids)
{
    while (!ids.empty() && entry_count(write) < max_entries)
    {
        write.removals.push_back(shard_key(ctx, kind, ids.front()));
        ids.pop_front();
    }
}

/// Puts as many waiting changes as fit into one transaction and sends it.
void flush(shard_context& ctx, bool awaited_only)
{
    auto& log = ctx.shard.record_log;
    store_transaction write;
    write.expected = {
        {shard_key(ctx, record_kind::owner), ctx.shard.ownership.revision},
        {shard_key(ctx, record_kind::serial), log.serial_revision}};
    write.puts.emplace_back(shard_key(ctx, record_kind::serial),
                            serial_record{log.serial + 1});
    log.in_flight_versions.clear();
    log.in_flight_removals.clear();
    log.next_fleet = current_fleet(ctx);
    log.in_flight_fleet_version = log.fleet_version;
    if (log.next_fleet != log.fleet)
    {
        write.puts.emplace_back(shard_key(ctx, record_kind::fleet),
                                log.next_fleet);
    }
    if (ctx.now >= log.next_interference
        && !ctx.shard.interference.models.empty())
    {
        log.next_interference = ctx.now + interference_interval;
        write.puts.emplace_back(
            shard_key(ctx, record_kind::interference),
            interference::to_record(ctx.shard.interference));
    }
    log.in_flight_relocations =
        append_new(ctx, write, record_kind::relocation, ctx.shard.relocations,
                   log.new_relocations);
    log.in_flight_cancellations =
        append_new(ctx, write, record_kind::cancellation,
                   ctx.shard.cancellations, log.new_cancellations);
    append_dirty(ctx, write, awaited_only);
    while (!log.expired_submissions.empty()
           && entry_count(write) + 2 <= max_entries)
    {
        auto const id = std::move(log.expired_submissions.front());
        log.expired_submissions.pop_front();
        write.removals.push_back(shard_key(ctx, record_kind::submission, id));
        write.removals.push_back(shard_key(ctx, record_kind::progress, id));
        log.in_flight_removals.push_back(id);
    }
    append_expired(ctx, write, record_kind::relocation,
                   log.expired_relocations);
    append_expired(ctx, write, record_kind::cancellation,
                   log.expired_cancellations);
    if (!awaited_only)
    {
        log.dirty_since = ctx.now;
        update_gather_time(ctx);
    }
    log.caller_waits_since.reset();
    log.in_flight = std::move(write);
    log.first_sent = ctx.now;
    log.attempts = 0;
    send(ctx);
}

/// Records that a version of a submission is in the store, and lets the calls
/// that waited for it be answered.
void mark_stored(shard_context& ctx, submission_state& submission,
                 std::uint64_t version)
{
    submission.stored_version = version;
    submission.record_stored = true;
    std::erase_if(submission.waiters, [&ctx, version](auto const& waiter) {
        auto const due = waiter.second <= version;
        if (due)
        {
            calls::stored(ctx, waiter.first);
        }
        return due;
    });
}

/// Lets each worker forget the ends of tasks up to the first one whose effect
/// on its submission is not in the store yet.
void acknowledge_stored_ends(shard_context& ctx)
{
    for (auto& [id, worker] : ctx.shard.workers)
    {
        auto& ends = worker.pending_ends;
        while (!ends.empty())
        {
            // The end of a task of a removed submission needs no storing.
            auto const* const submission =
                submissions::find(ctx, ends.front().submission);
            if (submission && submission->stored_version < ends.front().version)
            {
                break;
            }
            worker.acknowledged_end = ends.front().number;
            ends.pop_front();
        }
    }
}

/// Handles that the transaction in flight is in the store. `revision` is that
/// of its write.
void write_succeeded(shard_context& ctx, std::uint64_t revision)
{
    auto& log = ctx.shard.record_log;
    ctx.observe("record_log_ms", ctx.now - log.first_sent);
    ++log.serial;
    log.serial_revision = revision;
    fencing_tokens::note_write(ctx, revision);
    for (auto const& [key, record] : log.in_flight->puts)
    {
        auto* const submission = submissions::find(ctx, key.name);
        if (!submission)
        {
            continue;
        }
        if (auto const* const progress = std::get_if<progress_record>(&record))
        {
            submission->stored_phase = progress->phase;
        }
        else if (auto const* const stored =
                     std::get_if<submission_record>(&record))
        {
            submission->stored_terms = stored->terms;
        }
    }
    log.fleet = log.next_fleet;
    log.stored_fleet_version = log.in_flight_fleet_version;
    for (auto const& [id, address] : log.fleet.addresses)
    {
        auto const worker = ctx.shard.workers.find(id);
        if (worker != ctx.shard.workers.end() && !worker->second.in_fleet_record
            && worker->second.entry.address == address)
        {
            worker->second.in_fleet_record = true;
            ctx.shard.placement_due = true;
        }
    }
    auto const versions = std::move(log.in_flight_versions);
    auto const relocated = std::move(log.in_flight_relocations);
    auto const cancelled = std::move(log.in_flight_cancellations);
    for (auto const& id : log.in_flight_removals)
    {
        ctx.shard.submissions.erase(id);
    }
    log.in_flight.reset();
    for (auto const& [id, version] : versions)
    {
        if (auto* const submission = submissions::find(ctx, id))
        {
            mark_stored(ctx, *submission, version);
        }
    }
    for (auto const& id : relocated)
    {
        relocation::stored(ctx, id);
    }
    for (auto const& id : cancelled)
    {
        cancellations::stored(ctx, id);
    }
    acknowledge_stored_ends(ctx);
}

/// Returns whether there is nothing to store.
bool empty(record_log_state const& log)
{
    return log.dirty.empty() && log.expired_submissions.empty()
           && log.new_relocations.empty() && log.expired_relocations.empty()
           && log.new_cancellations.empty() && log.expired_cancellations.empty()
           && log.stored_fleet_version == log.fleet_version;
}

/// Returns the revision of the write serial if the reply shows that the
/// transaction in flight is in the store already.
std::optional<std::uint64_t> find_written_revision(shard_context const& ctx,
                                                   store_replied const& reply)
{
    for (auto const& item : reply.items)
    {
        auto const* const serial = std::get_if<serial_record>(&item.record);
        if (serial && serial->value == ctx.shard.record_log.serial + 1)
        {
            return item.revision;
        }
    }
    return std::nullopt;
}

/// Notes how long the attempt that has ended took.
void note_reply_time(record_log_state& log, store_status status, time_ms took)
{
    if (status == store_status::ok && log.attempts == 1)
    {
        log.reply_time.add(took);
    }
    else if (status == store_status::lost && took >= log.time_limit)
    {
        log.reply_time.timed_out();
    }
}

/// Returns whether the reply shows another owner record than that of this
/// daemon.
bool owner_changed(shard_context const& ctx, store_replied const& reply)
{
    return std::any_of(
        reply.items.begin(), reply.items.end(), [&ctx](store_item const& item) {
            return item.key == shard_key(ctx, record_kind::owner)
                   && item.revision != ctx.shard.ownership.revision;
        });
}

} // namespace

void changed(shard_context& ctx, submission_state& submission)
{
    if (submission.home)
    {
        return;
    }
    ++submission.version;
    auto& log = ctx.shard.record_log;
    if (!submission.dirty)
    {
        if (log.dirty.empty())
        {
            log.dirty_since = ctx.now;
        }
        submission.dirty = true;
        log.dirty.push_back(submission.id);
    }
}

void changed_with_waiting_caller(shard_context& ctx,
                                 submission_state& submission)
{
    changed(ctx, submission);
    flush_soon(ctx);
}

void fleet_changed(shard_context& ctx) { ++ctx.shard.record_log.fleet_version; }

void flush_soon(shard_context& ctx)
{
    auto& since = ctx.shard.record_log.caller_waits_since;
    since = since.value_or(ctx.now);
}

void replied(shard_context& ctx, store_replied const& reply)
{
    auto& log = ctx.shard.record_log;
    if (!log.in_flight || log.call != reply.call)
    {
        return;
    }
    log.call.reset();
    note_reply_time(log, reply.status, ctx.now - log.sent_at);
    if (reply.status == store_status::ok)
    {
        write_succeeded(ctx, reply.revision);
        return;
    }
    if (reply.status != store_status::conflict)
    {
        log.retry_at = ctx.now
                       + (reply.status == store_status::refused ? refused_pause
                                                                : time_ms(0));
        return;
    }
    // A successor continues with the same serials, so after a change of the
    // owner the serial does not show whose transaction it is.
    auto const owner_replaced = owner_changed(ctx, reply);
    auto const revision = find_written_revision(ctx, reply);
    if (revision && !owner_replaced)
    {
        write_succeeded(ctx, *revision);
        return;
    }
    ctx.log(log_level::warning, "ownership",
            owner_replaced
                ? "the store refused a write, another daemon is the owner"
                : "the store refused a write, the write serial differs");
    ownership::step_down(ctx);
}

void tick(shard_context& ctx)
{
    auto& log = ctx.shard.record_log;
    if (!holds_shard(ctx.shard.ownership.role)
        || ctx.shard.ownership.role == owner_role::recovering)
    {
        return;
    }
    if (log.in_flight)
    {
        if (!log.call && ctx.now >= log.retry_at)
        {
            send(ctx);
        }
        return;
    }
    if (empty(log))
    {
        return;
    }
    auto const all_due = ctx.now - log.dirty_since >= gather_time_of(log)
                         || log.dirty.size() >= max_entries;
    auto const awaited_due =
        log.caller_waits_since
        && ctx.now - *log.caller_waits_since >= caller_waiting_gather_time;
    if (all_due || awaited_due)
    {
        flush(ctx, !all_due && leaves_out_unawaited(log));
    }
}

} // namespace jaydrift::schedule::record_log
