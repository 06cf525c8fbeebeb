#include "callers.hpp"

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/json.hpp>
#include <jaydrift/soak/call_ended.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace jaydrift::soak::callers {

namespace {

constexpr time_ms call_time_limit{3000};
constexpr std::uint32_t max_tries = 8;

/// The interval between submissions is the minimum and a random time below the
/// jitter.
constexpr std::uint64_t submission_jitter_ms = 160;
constexpr time_ms min_submission_interval{40};

constexpr time_ms serving_target{200};
constexpr std::size_t long_running_per_worker = 2;

/// With several shards, one submission in so many needs the only worker of a
/// kind.
constexpr std::uint64_t rare_one_in = 8;

/// Most submissions sent at the same time.
constexpr std::size_t max_burst = 100;

/// Every daemon must know an accepted submission after this time.
constexpr time_ms visible_limit{3000};

/// Every daemon must know after this time that a queue was added or removed.
constexpr time_ms queue_change_limit{2500};

enum class work_kind : std::uint8_t
{
    ordinary,
    long_running,

    /// Long-running with a bound on its tail latency.
    serving,

    /// Its last step is opportunistic.
    opportunistic
};

/// Returns whether a call goes to the queue below the prefix of the usual one:
/// one in three submissions does while the configuration has it.
bool uses_nested_queue(soak_state const& state, open_call const& call)
{
    constexpr std::uint64_t nested_one_in = 3;
    return call.purpose == open_call::purpose_kind::submit
           && state.config_version % 2 == 0
           && std::stoull(call.id) % nested_one_in == 0;
}

std::string submission_id(std::uint64_t number)
{
    constexpr std::size_t length = 16;
    auto const text = std::to_string(number);
    return std::string(length - text.size(), '0') + text;
}

std::string submission_body(submission_plan const& plan)
{
    rapidjson::StringBuffer buffer;
    codec::json_writer writer(buffer);
    writer.StartObject();
    codec::put_field(writer, "spec", plan.payload);
    codec::put_key(writer, "steps");
    writer.StartArray();
    for (auto const& step : plan.steps)
    {
        writer.StartObject();
        codec::put_field(writer, "count", step.count);
        codec::put_field(writer, "cpu", step.demand.millicores);
        codec::put_field(writer, "memMb", step.demand.memory_mb);
        codec::put_field(writer, "estimateMs", step.run_time.count());
        if (!step.after.empty())
        {
            codec::put_key(writer, "after");
            writer.StartArray();
            for (auto const earlier : step.after)
            {
                writer.Uint(earlier);
            }
            writer.EndArray();
        }
        codec::put_boolean(writer, "longRunning", step.long_running);
        codec::put_boolean(writer, "fills", step.opportunistic);
        codec::put_field(writer, "image", step.image);
        codec::put_field(writer, "requires", step.required_label);
        codec::put_field(writer, "targetMs", step.latency_target.count());
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return codec::text_of(buffer);
}

submission_plan random_plan(soak_state& state, std::string const& id,
                            work_kind kind)
{
    auto const below = [&state](std::uint64_t bound) {
        return static_cast<std::uint32_t>(state.random.below(bound));
    };
    submission_plan plan;
    plan.payload = "payload of " + id;
    auto const long_running =
        kind == work_kind::long_running || kind == work_kind::serving;
    auto const steps = long_running ? 1U : 1U + below(3);
    for (std::uint32_t i = 0; i < steps; ++i)
    {
        step_plan step;
        step.count = 1 + below(5);
        step.demand = {500 + 500 * static_cast<std::int64_t>(below(3)), 500, 0};
        step.run_time = time_ms(100 + below(900));
        step.long_running = long_running;
        if (long_running)
        {
            // Small, so that under half of the workers' room is in use.
            step.demand.millicores = 500;
        }
        if (kind == work_kind::serving)
        {
            // Tasks of different images spread over the workers.
            step.count = 1;
            step.image = "serves " + id;
        }
        if (kind == work_kind::serving || (long_running && below(4) != 0))
        {
            step.latency_target = serving_target;
        }
        if (kind == work_kind::opportunistic && i + 1 == steps)
        {
            step.image = "fills";
            step.opportunistic = true;
        }
        if (i > 0)
        {
            step.after = {i - 1};
        }
        plan.steps.push_back(step);
    }
    return plan;
}

work_kind random_kind(soak_state& state)
{
    // More of them would fill the workers in a long run.
    auto const long_running = state.oracle.long_running_submissions().size()
                              < long_running_per_worker * state.workers.size();
    switch (state.random.below(10))
    {
    case 0:
        return long_running ? work_kind::long_running : work_kind::ordinary;
    case 1:
        return long_running ? work_kind::serving : work_kind::ordinary;
    case 2:
        return work_kind::opportunistic;
    default:
        return work_kind::ordinary;
    }
}

/// Sends a call, new or repeated, to its daemon and counts the try.
void send_to_daemon(soak_state& state, open_call call, time_ms now,
                    effect_list& effects)
{
    using purpose_kind = open_call::purpose_kind;
    call.sent_at = now;
    ++call.tries;
    call.nested = uses_nested_queue(state, call);
    http::request message;
    message.host = "jobs.example";
    message.headers = {
        {"Content-Type", "application/json"},
        {"Request-Timeout", std::to_string(call_time_limit.count())}};
    message.target = (call.nested ? "/batch/nested/" : "/batch/") + call.id;
    switch (call.purpose)
    {
    case purpose_kind::submit:
        message.method = "POST";
        message.body = submission_body(*state.oracle.plan(call.id));
        break;
    case purpose_kind::cancel:
        message.method = "DELETE";
        state.oracle.cancel_sent(call.id);
        break;
    case purpose_kind::probe_extra_queue:
        message.target = "/extra/";
        break;
    case purpose_kind::show:
        break;
    }
    auto const number = state.next_call++;
    effects.push_back(
        send_call{number, call.daemon, std::move(message), call_time_limit});
    state.open_calls.emplace(number, std::move(call));
}

/// Sends a call, new or repeated, to a random daemon.
void send(soak_state& state, open_call call, time_ms now, effect_list& effects)
{
    call.daemon = state.random.below(state.daemons.size());
    send_to_daemon(state, std::move(call), now, effects);
}

void send_new(soak_state& state, open_call::purpose_kind purpose,
              std::string const& id, time_ms now, effect_list& effects)
{
    open_call call;
    call.purpose = purpose;
    call.id = id;
    send(state, std::move(call), now, effects);
}

void submit(soak_state& state, work_kind kind, time_ms now,
            effect_list& effects)
{
    auto const number = state.next_submission++;
    auto const id = submission_id(number);
    auto plan = random_plan(state, id, kind);
    if (kind == work_kind::ordinary && number % rare_one_in == 0
        && state.settings.shards > 1)
    {
        for (auto& step : plan.steps)
        {
            step.required_label = soak_state::rare_kind;
        }
    }
    state.oracle.planned(id, std::move(plan));
    send_new(state, open_call::purpose_kind::submit, id, now, effects);
}

std::string random_submission(soak_state& state)
{
    return submission_id(1 + state.random.below(state.next_submission - 1));
}

/// Called for a call that was lost: a daemon that stops on SIGTERM, without a
/// fault, must answer the calls that it has read.
void check_lost_call(soak_state& state, open_call const& call, time_ms now)
{
    auto const& daemon = state.daemons[call.daemon];
    if (daemon.stopping && !daemon.disturbed
        && now - call.sent_at < call_time_limit)
    {
        state.oracle.add_violation(
            "a stopping daemon did not answer a call for " + call.id);
    }
}

void retry(soak_state& state, open_call call, time_ms now, effect_list& effects)
{
    if (call.tries < max_tries)
    {
        send(state, std::move(call), now, effects);
    }
}

void submit_answered(soak_state& state, open_call call, unsigned status,
                     time_ms now, effect_list& effects)
{
    constexpr std::uint64_t duplicate_one_in = 10;
    switch (status)
    {
    case 200:
        state.oracle.accepted(call.id, now);
        if (call.tries == 1 && state.random.below(duplicate_one_in) == 0)
        {
            // Simulates a duplicate delivery by the network.
            send(state, std::move(call), now, effects);
        }
        return;
    case 429:
    case 503:
        if (!call.maybe_carried_out)
        {
            state.oracle.refused(call.id);
        }
        return;
    case 404:
        if (!call.nested)
        {
            state.oracle.add_violation(
                call.id + " was refused with 404, but its queue exists");
        }
        else if (!call.maybe_carried_out)
        {
            state.oracle.refused(call.id);
        }
        return;
    default:
        call.maybe_carried_out = true;
        retry(state, std::move(call), now, effects);
    }
}

void show_answered(soak_state& state, open_call const& call,
                   http::response const& reply)
{
    auto const accepted = state.oracle.accepted_at(call.id);
    if (reply.status == 410
        && (state.current_phase == soak_state::phase::recovery
            || state.current_phase == soak_state::phase::filling)
        && accepted && call.sent_at - *accepted > visible_limit)
    {
        state.oracle.add_violation(
            call.id + " was accepted, but a daemon does not know it");
    }
    if (reply.status != 200)
    {
        return;
    }
    try
    {
        state.oracle.shown(
            call.id, codec::text(codec::parse_object(reply.body), "state"));
    }
    catch (codec::codec_error const& fault)
    {
        state.oracle.add_violation("the state of " + call.id
                                   + " cannot be read: " + fault.what());
    }
}

/// Returns whether every daemon must know the present state of the queue
/// "extra" by the time at which a call was sent.
bool queue_change_is_known(soak_state const& state, time_ms sent_at)
{
    return sent_at - std::max(state.queue_changed_at, state.disturbed_at)
           > queue_change_limit;
}

void probe_answered(soak_state& state, open_call const& call, unsigned status)
{
    if (!queue_change_is_known(state, call.sent_at))
    {
        return;
    }
    auto const exists = state.config_version % 2 == 0;
    if (status == 200 && !exists)
    {
        state.oracle.add_violation("a daemon serves a removed queue");
    }
    if (status == 404 && exists)
    {
        state.oracle.add_violation("a daemon does not know an added queue");
    }
    // Without other faults, every daemon can also reach the owner by then.
    if (status == 503 && exists
        && (state.current_phase == soak_state::phase::silent_store
            || state.current_phase == soak_state::phase::large_configuration))
    {
        state.oracle.add_violation("a daemon refuses calls to an added queue");
    }
}

} // namespace

void tick(soak_state& state, time_ms now, effect_list& effects)
{
    using purpose_kind = open_call::purpose_kind;
    if (now < state.next_submission_at)
    {
        return;
    }
    auto const jitter =
        static_cast<std::int64_t>(state.random.below(submission_jitter_ms));
    state.next_submission_at = now + min_submission_interval + time_ms(jitter);
    submit(state, random_kind(state), now, effects);
    send_new(state, purpose_kind::show, random_submission(state), now, effects);
    constexpr std::uint64_t cancel_one_in = 20;
    // A start that is carried out late may follow a cancel.
    if (state.current_phase != soak_state::phase::late_orders
        && state.random.below(cancel_one_in) == 0)
    {
        send_new(state, purpose_kind::cancel, random_submission(state), now,
                 effects);
    }
    if (state.config_version % 2 == 1 && queue_change_is_known(state, now))
    {
        send_new(state, purpose_kind::probe_extra_queue, {}, now, effects);
    }
}

void probe_extra_queue(soak_state& state, time_ms now, effect_list& effects)
{
    for (std::size_t i = 0; i < state.daemons.size(); ++i)
    {
        open_call call;
        call.purpose = open_call::purpose_kind::probe_extra_queue;
        call.daemon = i;
        send_to_daemon(state, std::move(call), now, effects);
    }
}

void submit_tasks(soak_state& state, std::uint32_t count, time_ms run_time,
                  time_ms now, effect_list& effects)
{
    auto const id = submission_id(state.next_submission++);
    step_plan step;
    step.count = count;
    step.demand = {500, 500, 0};
    step.run_time = run_time;
    submission_plan plan;
    plan.payload = "payload of " + id;
    plan.steps.push_back(std::move(step));
    state.oracle.planned(id, std::move(plan));
    send_new(state, open_call::purpose_kind::submit, id, now, effects);
}

void submit_serving(soak_state& state, time_ms now, effect_list& effects)
{
    for (std::size_t i = 0; i < std::min(2 * state.workers.size(), max_burst);
         ++i)
    {
        submit(state, work_kind::serving, now, effects);
    }
}

void submit_opportunistic(soak_state& state, time_ms now, effect_list& effects)
{
    for (std::size_t i = 0; i < std::min(state.workers.size(), max_burst); ++i)
    {
        submit(state, work_kind::opportunistic, now, effects);
    }
}

std::string submit_short_tasks(soak_state& state, std::uint32_t count,
                               time_ms now, effect_list& effects)
{
    auto id = submission_id(state.next_submission++);
    step_plan step;
    step.count = count;
    step.demand = {20, 20, 0};
    step.run_time = time_ms(1000);
    submission_plan plan;
    plan.payload = "payload of " + id;
    plan.steps.push_back(std::move(step));
    state.oracle.planned(id, std::move(plan));
    send_new(state, open_call::purpose_kind::submit, id, now, effects);
    return id;
}

void query_all(soak_state& state, time_ms now, effect_list& effects)
{
    auto open = state.oracle.unfinished_submissions();
    for (auto& id : state.oracle.long_running_submissions())
    {
        // Queried too, since a cancel whose answer was lost may have ended it.
        open.push_back(std::move(id));
    }
    for (auto const& id : open)
    {
        send_new(state, open_call::purpose_kind::show, id, now, effects);
    }
}

void cancel_all(soak_state& state, time_ms now, effect_list& effects)
{
    for (auto const& id : state.oracle.long_running_submissions())
    {
        send_new(state, open_call::purpose_kind::cancel, id, now, effects);
    }
}

void ended(soak_state& state, call_ended const& input, time_ms now,
           effect_list& effects)
{
    using purpose_kind = open_call::purpose_kind;
    using outcome = http::call_result::outcome_kind;
    auto const found = state.open_calls.find(input.number);
    if (found == state.open_calls.end())
    {
        return;
    }
    auto call = std::move(found->second);
    state.open_calls.erase(found);
    if (input.result.outcome != outcome::answered)
    {
        if (input.result.outcome == outcome::lost)
        {
            check_lost_call(state, call, now);
            call.maybe_carried_out = true;
        }
        if (call.purpose == purpose_kind::submit
            || call.purpose == purpose_kind::cancel)
        {
            retry(state, std::move(call), now, effects);
        }
        return;
    }
    auto const& reply = input.result.reply;
    switch (call.purpose)
    {
    case purpose_kind::submit:
        return submit_answered(state, std::move(call), reply.status, now,
                               effects);
    case purpose_kind::show:
        return show_answered(state, call, reply);
    case purpose_kind::cancel:
        if (reply.status == 200)
        {
            state.oracle.cancelled(call.id, now);
        }
        return;
    case purpose_kind::probe_extra_queue:
        return probe_answered(state, call, reply.status);
    }
}

} // namespace jaydrift::soak::callers
