#include <jaydrift/soak/task_worker.hpp>

#include <jaydrift/codec/json.hpp>
#include <jaydrift/soak/task_name.hpp>

#include <algorithm>
#include <utility>

namespace jaydrift::soak {

namespace {

using codec::json_writer;

/// Ends in one reply to a hold; later ones follow when these are acknowledged.
constexpr std::size_t max_listed_ends = 500;

constexpr time_ms min_heartbeat_interval{1400};
constexpr std::uint64_t heartbeat_jitter_ms = 200;

} // namespace

task_worker::task_worker(std::string id, std::string address, std::string zone,
                         time_ms max_lease, std::uint64_t seed)
    : id_(std::move(id)), address_(std::move(address)), zone_(std::move(zone)),
      max_lease_(max_lease), random_(seed), process_started_at_(time_ms(1)),
      heartbeat_interval_(
          min_heartbeat_interval
          + time_ms(static_cast<std::int64_t>(seed % heartbeat_jitter_ms)))
{
}

http::response task_worker::reply(unsigned status, std::string_view reason,
                                  time_ms now) const
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    codec::put_key(out, "clockMs");
    out.Int64(clock(now).count());
    codec::put_field(out, "reason", reason);
    out.EndObject();
    return {
        status, {{"Content-Type", "application/json"}}, codec::text_of(buffer)};
}

resources task_worker::room_of(run const& of)
{
    return {of.opportunistic ? 0 : of.demand.millicores, of.demand.memory_mb,
            of.demand.accelerators};
}

resources task_worker::used() const
{
    resources sum;
    for (auto const& [task, each] : runs_)
    {
        sum += room_of(each);
    }
    return sum;
}

http::response task_worker::handle(http::request const& order, oracle& oracle,
                                   time_ms now)
{
    advance(oracle, now);
    if (order.header("Expected-Instance") != id_)
    {
        return reply(421, {}, now);
    }
    auto const body = codec::parse_object(order.body);
    auto const token =
        static_cast<std::uint64_t>(codec::integer(body, "fenceToken"));
    if (token < token_)
    {
        return reply(409, "fence", now);
    }
    token_ = token;
    auto const lease = codec::milliseconds(body, "deadlineMs");
    lease_until_ =
        std::max(lease_until_, std::min(lease, clock(now) + max_lease_));
    if (order.target == "/api/run-start")
    {
        return start(order, oracle, now);
    }
    if (order.target == "/api/run-stop")
    {
        auto const task = codec::text(body, "task");
        auto const number =
            static_cast<std::uint64_t>(codec::integer(body, "runId"));
        auto& refused = refused_runs_[task];
        refused = std::max(refused, number);
        auto const found = runs_.find(task);
        if (found != runs_.end() && found->second.number <= number)
        {
            finish(task, "stopped", oracle);
        }
        return reply(200, {}, now);
    }
    if (order.target == "/api/hold")
    {
        acknowledge(
            static_cast<std::uint64_t>(codec::integer(body, "lastSeen")),
            oracle);
        return hold_reply(now);
    }
    return reply(200, {}, now);
}

http::response task_worker::start(http::request const& order, oracle& oracle,
                                  time_ms now)
{
    auto const body = codec::parse_object(order.body);
    auto const task = codec::text(body, "task");
    auto const number =
        static_cast<std::uint64_t>(codec::integer(body, "runId"));
    auto const name = parse_task(task);
    auto const* const plan = oracle.plan(name.submission);
    if (codec::milliseconds(body, "deadlineMs") < clock(now))
    {
        return reply(409, "late", now);
    }
    auto const present = runs_.find(task);
    if (present != runs_.end() && present->second.number == number)
    {
        return reply(200, {}, now);
    }
    if (number <= refused_runs_[task])
    {
        return reply(409, "old", now);
    }
    run added;
    added.number = number;
    if (plan && name.step < plan->steps.size())
    {
        auto const& step = plan->steps[name.step];
        added.demand = step.demand;
        added.opportunistic = step.opportunistic;
        added.latency_target = step.latency_target;
        added.long_running = step.long_running;
        added.run_time = step.run_time;
        added.done_at = now + step.run_time;
    }
    added.fails = random_.below(100) < failing_percent;
    if (!fits(room_of(added), capacity_ - used()))
    {
        return reply(409, "room", now);
    }
    runs_[task] = added;
    oracle.started(task, number, id_, codec::text(body, "spec"), now);
    return reply(200, {}, now);
}

std::int64_t task_worker::load(run const& of)
{
    constexpr std::uint64_t high_percent = 80;
    constexpr std::uint64_t low_percent = 30;
    constexpr std::uint64_t percent_jitter = 16;
    if (of.latency_target == time_ms(0))
    {
        return of.demand.millicores;
    }
    auto const percent = (high_tails ? high_percent : low_percent)
                         + random_.below(percent_jitter);
    return of.latency_target.count() * static_cast<std::int64_t>(percent) / 100;
}

http::response task_worker::hold_reply(time_ms now)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    codec::put_key(out, "clockMs");
    out.Int64(clock(now).count());
    codec::put_key(out, "born");
    out.Int64(process_started_at_.count());
    codec::put_key(out, "running");
    out.StartArray();
    for (auto const& [task, each] : runs_)
    {
        // A long-running task reports 100 while it works. For others the
        // progress is 99 less 1 per 10 ms left, or per 1% of the work if that
        // is longer, and at least 1.
        constexpr std::int64_t long_running_percent = 100;
        constexpr std::int64_t min_step_ms = 10;
        auto const left = (each.done_at - now).count();
        auto const step =
            std::max(min_step_ms, each.run_time.count() / long_running_percent);
        out.StartArray();
        codec::put(out, task);
        out.Uint64(each.number);
        codec::put(out, "");
        out.Int64(each.long_running
                      ? long_running_percent
                      : long_running_percent - 1
                            - std::clamp<std::int64_t>(left / step, 0, 98));
        out.Int64(load(each));
        out.EndArray();
    }
    out.EndArray();
    codec::put_key(out, "finished");
    out.StartArray();
    for (std::size_t i = 0; i < std::min(max_listed_ends, ended_.size()); ++i)
    {
        auto const& each = ended_[i];
        out.StartArray();
        out.Uint64(each.number);
        codec::put(out, each.task);
        out.Uint64(each.run);
        codec::put(out, each.outcome);
        codec::put(out, "");
        out.EndArray();
    }
    out.EndArray();
    out.EndObject();
    return {
        200, {{"Content-Type", "application/json"}}, codec::text_of(buffer)};
}

void task_worker::finish(std::string const& task, std::string_view outcome,
                         oracle& oracle)
{
    auto const found = runs_.find(task);
    auto const number = found->second.number;
    runs_.erase(found);
    auto& refused = refused_runs_[task];
    refused = std::max(refused, number);
    ended_.push_back({++last_end_, task, number, std::string(outcome)});
    oracle.ended(task, number, outcome == "done");
}

void task_worker::acknowledge(std::uint64_t number, oracle& oracle)
{
    std::erase_if(ended_, [&](ended_run const& each) {
        if (each.number <= number)
        {
            oracle.acknowledged(each.task, each.outcome == "done");
        }
        return each.number <= number;
    });
}

void task_worker::advance(oracle& oracle, time_ms now)
{
    std::vector<std::pair<std::string, std::string_view>> finished;
    for (auto const& [task, each] : runs_)
    {
        if (!each.long_running && each.done_at <= now)
        {
            finished.emplace_back(task, each.fails ? "failed" : "done");
        }
        else if (lease_until_ < clock(now))
        {
            finished.emplace_back(task, "lapsed");
        }
    }
    for (auto const& [task, outcome] : finished)
    {
        finish(task, outcome, oracle);
    }
}

void task_worker::crash(oracle& oracle)
{
    up_ = false;
    for (auto const& [task, each] : runs_)
    {
        oracle.ended(task, each.number, false);
    }
    runs_.clear();
    refused_runs_.clear();
    ended_.clear();
    last_end_ = 0;
    token_ = 0;
    lease_until_ = {};
}

void task_worker::restart(time_ms now)
{
    up_ = true;
    draining = false;
    process_started_at_ = now;
    sequence_ = 0;
}

bool task_worker::heartbeat(time_ms now)
{
    if (now < next_heartbeat_)
    {
        return false;
    }
    ++sequence_;
    next_heartbeat_ = now + heartbeat_interval_;
    return true;
}

std::string task_worker::record() const
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    codec::put_field(out, "service", "batch");
    codec::put_field(out, "address", address_);
    codec::put_field(out, "zone", zone_);
    codec::put_field(out, "state", draining ? "draining" : "ready");
    codec::put_field(out, "version", 1);
    codec::put_key(out, "sequence");
    out.Uint64(sequence_);
    codec::put_key(out, "capacity");
    out.StartObject();
    codec::put_field(out, "cpu", capacity_.millicores);
    codec::put_field(out, "memMb", capacity_.memory_mb);
    out.EndObject();
    codec::put_key(out, "labels");
    out.StartArray();
    codec::put(out, kind);
    codec::put(out, "rack-1");
    out.EndArray();
    codec::put_key(out, "born");
    out.Int64(process_started_at_.count());
    out.EndObject();
    return codec::text_of(buffer);
}

} // namespace jaydrift::soak
