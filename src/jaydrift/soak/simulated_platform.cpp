#include "simulated_platform.hpp"

#include "fault_helpers.hpp"
#include "late_orders.hpp"
#include "scale_in.hpp"

#include <jaydrift/codec/base64.hpp>
#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/json.hpp>
#include <jaydrift/soak/request_arrived.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::soak::simulated_platform {

namespace {

/// Limit of the wait that a watch asks for.
constexpr time_ms max_watch_wait{30000};
constexpr time_ms min_lateness{2000};
constexpr std::uint64_t lateness_jitter_ms = 3000;

/// Nothing may start in an evacuated zone after this time, counted from the
/// evacuation or the last fault, so that the daemons can have seen it.
constexpr time_ms evacuation_limit{5000};

std::uint64_t wait_ms_of(std::string_view target)
{
    auto const position = target.find("waitMs=");
    std::uint64_t value = 0;
    if (position != std::string_view::npos)
    {
        auto const text =
            target.substr(position + std::string_view("waitMs=").size());
        std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
}

time_ms random_late_time(soak_state& state, time_ms now)
{
    return now + min_lateness
           + time_ms(static_cast<std::int64_t>(
               state.random.below(lateness_jitter_ms)));
}

void store_request_arrived(soak_state& state, request_arrived const& input,
                           time_ms now, effect_list& effects)
{
    auto const& message = input.message;
    if (state.store_silent_until)
    {
        return;
    }
    if (state.store_outage_until)
    {
        effects.push_back(respond{input.number, {503, {}, {}}});
        return;
    }
    auto const is_write = message.method == "POST";
    if (is_write && state.random.below(100) < state.lost_answer_percent)
    {
        // No answer. Half of the writes are carried out at the next tick and
        // half late, each if its condition still holds then.
        auto const due =
            state.random.below(2) == 0 ? now : random_late_time(state, now);
        state.requests.push_back({0, {}, message, due, true});
        return;
    }
    if (auto reply = state.store.handle(message))
    {
        effects.push_back(respond{input.number, std::move(*reply)});
        return;
    }
    auto const wait = std::min(
        max_watch_wait,
        time_ms(static_cast<std::int64_t>(wait_ms_of(message.target))));
    state.requests.push_back({input.number, {}, message, now + wait, false});
}

/// `late` is set for an order that was held back on its way.
http::response handle_order(soak_state& state, std::size_t worker,
                            http::request const& order, bool late, time_ms now)
{
    try
    {
        auto const starts = state.oracle.start_count();
        auto reply = state.workers[worker].handle(order, state.oracle, now);
        if (state.oracle.start_count() > starts && !late)
        {
            scale_in::check_start(state, worker, now);
        }
        if (state.oracle.start_count() > starts && state.evacuated_zone
            && state.workers[worker].zone() == *state.evacuated_zone
            && now - std::max(state.evacuated_at, state.disturbed_at)
                   > evacuation_limit)
        {
            state.oracle.add_violation("a task started in the evacuated zone");
        }
        return reply;
    }
    catch (codec::codec_error const& fault)
    {
        state.oracle.add_violation(std::string("an order cannot be read: ")
                                   + fault.what());
        return {400, {}, {}};
    }
}

void worker_request_arrived(soak_state& state, request_arrived const& input,
                            time_ms now, effect_list& effects)
{
    auto const number = *input.worker;
    if (!state.workers[number].up())
    {
        return;
    }
    auto const& order = input.message;
    auto const is_hold = order.target == "/api/hold";
    if (auto const due = late_orders::due_time(state, is_hold, now))
    {
        state.requests.push_back({0, number, order, *due, true,
                                  state.workers[number].process_started_at()});
        return;
    }
    if (!is_hold && state.random.below(100) < state.late_order_percent)
    {
        state.requests.push_back(
            {0, number, order, random_late_time(state, now), true});
        return;
    }
    auto reply = handle_order(state, number, order, false, now);
    if (is_hold && reply.status == 200
        && !state.workers[number].has_unacknowledged_ends())
    {
        std::uint64_t wait = 0;
        try
        {
            wait = static_cast<std::uint64_t>(
                codec::integer(codec::parse_object(order.body), "waitMs"));
        }
        catch (codec::codec_error const& fault)
        {
            state.oracle.add_violation(std::string("a hold cannot be read: ")
                                       + fault.what());
        }
        if (wait > 0)
        {
            state.requests.push_back(
                {input.number, number, order,
                 now + time_ms(static_cast<std::int64_t>(wait)), false});
            return;
        }
    }
    effects.push_back(respond{input.number, std::move(reply)});
}

/// Answers a watch or hold if it is due or has something to report, and carries
/// out a late write or order, without an answer, if it is due. A late order to
/// a worker that is down is lost. Returns false if the request still waits.
bool try_answer(soak_state& state, open_request const& waiting, time_ms now,
                effect_list& effects)
{
    if (waiting.worker)
    {
        auto& worker = state.workers[*waiting.worker];
        if (now < waiting.due
            && (waiting.unanswered || !worker.has_unacknowledged_ends()))
        {
            return false;
        }
        auto const token = worker.token();
        if (!worker.up())
        {
            return true;
        }
        auto reply = handle_order(state, *waiting.worker, waiting.message,
                                  waiting.unanswered, now);
        if (waiting.process_started_at
            && *waiting.process_started_at != worker.process_started_at()
            && reply.status == 200)
        {
            print(effects, now,
                  worker.id() + " had seen token " + std::to_string(token)
                      + " and carries out an order for process "
                      + std::to_string(waiting.process_started_at->count())
                      + ": " + waiting.message.target + " "
                      + waiting.message.body);
        }
        if (!waiting.unanswered)
        {
            effects.push_back(respond{waiting.number, std::move(reply)});
        }
        return true;
    }
    if (waiting.unanswered)
    {
        if (now < waiting.due)
        {
            return false;
        }
        static_cast<void>(state.store.handle(waiting.message));
        return true;
    }
    auto reply = state.store.handle(waiting.message);
    if (!reply && now < waiting.due)
    {
        return false;
    }
    if (!reply)
    {
        // Nothing has changed up to the present revision.
        reply =
            http::response{200,
                           {{"Content-Type", "application/json"}},
                           "{\"events\":[],\"atRev\":"
                               + std::to_string(state.store.revision()) + "}"};
    }
    effects.push_back(respond{waiting.number, std::move(*reply)});
    return true;
}

/// Queues of a large configuration beyond the others.
constexpr std::size_t added_queues = 1400;

void write_queue(codec::json_writer& writer, std::string_view name,
                 std::string_view prefix, std::int64_t priority)
{
    writer.StartObject();
    codec::put_field(writer, "name", name);
    codec::put_field(writer, "host", "jobs.example");
    codec::put_field(writer, "prefix", prefix);
    codec::put_field(writer, "service", "batch");
    codec::put_field(writer, "priority", priority);
    codec::put_field(writer, "attempts", 4);
    codec::put_field(writer, "targetLatencyMs", 1000);
    writer.EndObject();
}

} // namespace

void arrived(soak_state& state, request_arrived const& input, time_ms now,
             effect_list& effects)
{
    if (input.worker)
    {
        worker_request_arrived(state, input, now, effects);
    }
    else
    {
        store_request_arrived(state, input, now, effects);
    }
}

void tick(soak_state& state, time_ms now, effect_list& effects)
{
    state.store.expire_history(now);
    for (std::size_t i = 0; i < state.workers.size(); ++i)
    {
        auto& worker = state.workers[i];
        if (!worker.up())
        {
            continue;
        }
        worker.advance(state.oracle, now);
        if (worker.heartbeat(now) && !state.store_outage_until
            && !state.store_silent_until)
        {
            publish_worker(state, i);
        }
    }
    // Requests that still wait stay in the sequence of their arrival.
    for (auto& each : std::exchange(state.requests, {}))
    {
        if (!try_answer(state, each, now, effects))
        {
            state.requests.push_back(std::move(each));
        }
    }
}

void crash_worker(soak_state& state, std::size_t worker, time_ms until)
{
    if (!state.workers[worker].up())
    {
        return;
    }
    state.workers[worker].crash(state.oracle);
    // Waiting holds are lost with the process, as are most orders in transit.
    std::erase_if(state.requests, [worker](open_request const& each) {
        return each.worker == worker && !each.process_started_at;
    });
    state.worker_restarts[worker] = until;
}

void restart_worker(soak_state& state, std::size_t worker, time_ms now)
{
    auto& restarted = state.workers[worker];
    if (restarted.kind == soak_state::rare_kind)
    {
        state.store.remove("servers/" + restarted.id());
        restarted.rename("rare-" + std::to_string(++state.rare_workers));
    }
    restarted.restart(now);
    publish_worker(state, worker);
}

void publish_worker(soak_state& state, std::size_t worker)
{
    state.store.put("servers/" + state.workers[worker].id(),
                    codec::encode_base64(state.workers[worker].record()));
}

void write_configuration(soak_state& state)
{
    rapidjson::StringBuffer buffer;
    codec::json_writer writer(buffer);
    writer.StartObject();
    codec::put_key(writer, "version");
    writer.Uint64(state.config_version);
    codec::put_key(writer, "routes");
    writer.StartArray();
    write_queue(writer, "urgent", "/urgent/", 0);
    write_queue(writer, "batch", "/batch/", 2);
    // Even versions have two more queues.
    if (state.config_version % 2 == 0)
    {
        write_queue(writer, "extra", "/extra/", 1);
        write_queue(writer, "nested", "/batch/nested/", 2);
    }
    for (std::size_t i = 0; state.large_configuration && i < added_queues; ++i)
    {
        auto const name = "queue-" + std::to_string(i);
        write_queue(writer, name, "/" + name + "/",
                    i == 0 ? static_cast<std::int64_t>(state.config_version)
                           : 1);
    }
    writer.EndArray();
    writer.EndObject();
    state.store.put("op/config", codec::encode_base64(codec::text_of(buffer)));
}

} // namespace jaydrift::soak::simulated_platform
