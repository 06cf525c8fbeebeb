#include <jaydrift/codec/record_codec.hpp>

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/json.hpp>
#include <jaydrift/codec/task_assignment_codec.hpp>
#include <jaydrift/codec/task_id_codec.hpp>
#include <jaydrift/core/network_address.hpp>
#include <jaydrift/core/printable.hpp>
#include <jaydrift/schedule/limits.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace jaydrift::codec {

namespace {

using namespace schedule;

void write(json_writer& out, step_spec const& step)
{
    out.StartObject();
    put_field(out, "count", step.count);
    put_field(out, "millicores", step.demand.millicores);
    put_field(out, "memory_mb", step.demand.memory_mb);
    put_field(out, "accelerators", step.demand.accelerators);
    put_field(out, "estimate_ms", step.estimate.count());
    if (!step.after.empty())
    {
        put_key(out, "after");
        out.StartArray();
        for (auto const predecessor : step.after)
        {
            out.Uint(predecessor);
        }
        out.EndArray();
    }
    put_field(out, "required_label", step.required_label);
    put_field(out, "data_rack", step.data_rack);
    put_field(out, "image", step.image);
    put_field(out, "max_per_worker", step.max_per_worker);
    put_field(out, "max_unavailable", step.max_unavailable);
    put_field(out, "latency_target_ms", step.latency_target.count());
    put_boolean(out, "gang", step.gang);
    put_boolean(out, "same_rack", step.same_rack);
    put_boolean(out, "checkpoints", step.checkpoints);
    put_boolean(out, "speculative", step.speculative);
    put_boolean(out, "long_running", step.long_running);
    put_boolean(out, "opportunistic", step.opportunistic);
    out.EndObject();
}

/// Returns a field from 0 to `max_count`.
std::uint32_t count_field(json const& object, std::string_view name)
{
    return static_cast<std::uint32_t>(
        integer_between(object, name, 0, limits::max_count));
}

/// Returns a field from 0 to `max_number`.
std::uint64_t number_field(json const& object, std::string_view name)
{
    return static_cast<std::uint64_t>(
        integer_between(object, name, 0, limits::max_number));
}

std::uint64_t as_number(json const& value)
{
    return static_cast<std::uint64_t>(
        as_integer_between(value, 0, limits::max_number));
}

/// Reads the step at `index`; it may wait only for steps with a lower index.
step_spec read_step(json const& value, std::size_t index)
{
    step_spec step;
    step.count = static_cast<std::uint32_t>(
        integer_between(value, "count", 1, limits::max_tasks_per_step));
    step.demand = {
        integer_between(value, "millicores", 0, limits::max_demand_millicores),
        integer_between(value, "memory_mb", 0, limits::max_amount),
        integer_between(value, "accelerators", 0, limits::max_amount)};
    step.estimate =
        std::min(limits::max_estimate,
                 milliseconds_up_to(value, "estimate_ms", limits::max_time));
    if (auto const* const after = array(value, "after"))
    {
        for (auto const& predecessor : after->GetArray())
        {
            step.after.push_back(static_cast<std::uint32_t>(as_integer_between(
                predecessor, 0, static_cast<std::int64_t>(index) - 1)));
        }
    }
    step.required_label = text(value, "required_label");
    step.data_rack = text(value, "data_rack");
    step.image = text(value, "image");
    step.max_per_worker = count_field(value, "max_per_worker");
    step.max_unavailable = count_field(value, "max_unavailable");
    step.latency_target =
        milliseconds_up_to(value, "latency_target_ms", limits::max_duration);
    step.gang = boolean(value, "gang");
    step.same_rack = boolean(value, "same_rack");
    step.checkpoints = boolean(value, "checkpoints");
    step.speculative = boolean(value, "speculative");
    step.long_running = boolean(value, "long_running");
    step.opportunistic = boolean(value, "opportunistic");
    return step;
}

void write(json_writer& out, submission_terms const& terms)
{
    out.StartObject();
    put_field(out, "config_version",
              static_cast<std::int64_t>(terms.config_version));
    put_field(out, "service", terms.service);
    put_field(out, "priority", terms.priority);
    put_field(out, "max_attempts", terms.max_attempts);
    put_field(out, "time_allowed_ms", terms.time_allowed.count());
    out.EndObject();
}

std::optional<submission_terms> read_terms(json const& submission)
{
    auto const* const value = find(submission, "terms");
    if (!value)
    {
        return std::nullopt;
    }
    submission_terms terms;
    terms.config_version = number_field(*value, "config_version");
    terms.service = text(*value, "service");
    terms.priority = count_field(*value, "priority");
    terms.max_attempts = count_field(*value, "max_attempts");
    terms.time_allowed =
        milliseconds_up_to(*value, "time_allowed_ms", limits::max_time);
    return terms;
}

void write_fields(json_writer& out, submission_record const& record)
{
    put_field(out, "id", record.id);
    put_field(out, "queue", record.queue);
    put_field(out, "accepted_ms", record.accepted_at.count());
    put_field(out, "payload", record.work.payload);
    put_field(out, "first_due_ms", record.work.first_due.count());
    put_field(out, "interval_ms", record.work.interval.count());
    put_field(out, "repeat_count", record.work.repeat_count);
    if (record.terms)
    {
        put_key(out, "terms");
        write(out, *record.terms);
    }
    put_key(out, "steps");
    out.StartArray();
    for (auto const& step : record.work.steps)
    {
        write(out, step);
    }
    out.EndArray();
}

submission_record read_submission(json const& value)
{
    submission_record record;
    record.id = submission_id_field(value, "id");
    record.queue = text(value, "queue");
    record.accepted_at =
        milliseconds_up_to(value, "accepted_ms", limits::max_time);
    record.work.payload = text(value, "payload");
    record.work.first_due =
        milliseconds_up_to(value, "first_due_ms", limits::max_time);
    record.work.interval =
        milliseconds_up_to(value, "interval_ms", limits::max_time);
    record.work.repeat_count = count_field(value, "repeat_count");
    record.terms = read_terms(value);
    std::int64_t tasks = 0;
    if (auto const* const steps = array(value, "steps"))
    {
        for (auto const& step : steps->GetArray())
        {
            auto const index = record.work.steps.size();
            tasks +=
                record.work.steps.emplace_back(read_step(step, index)).count;
        }
    }
    if (tasks == 0 || tasks > limits::max_tasks_per_occurrence)
    {
        throw codec_error("the number of tasks is out of range");
    }
    return record;
}

/// Returns whether nothing is known of a task but its last run and its worker.
bool has_only_run(task_progress const& task)
{
    return task.failed_runs.empty() && task.highest_ended_run == 0
           && task.checkpoint.empty();
}

/// Writes a task as an array [failed runs, highest ended run, last run, worker,
/// checkpoint], as [last run less `first_run`, worker] if it has only these, or
/// as 0 if it never ran and 1 if it is done.
void write(json_writer& out, task_progress const& task, std::uint64_t first_run)
{
    if (task == task_progress{})
    {
        out.Int(0);
        return;
    }
    if (task.done)
    {
        out.Int(1);
        return;
    }
    out.StartArray();
    if (has_only_run(task))
    {
        out.Uint64(task.run - first_run);
        put(out, task.worker);
        out.EndArray();
        return;
    }
    out.StartArray();
    for (auto const run : task.failed_runs)
    {
        out.Uint64(run);
    }
    out.EndArray();
    out.Uint64(task.highest_ended_run);
    out.Uint64(task.run);
    put(out, task.worker);
    put(out, task.checkpoint);
    out.EndArray();
}

std::string read_worker(json const& value)
{
    auto result = as_text(value);
    if (!result.empty() && !is_name(result))
    {
        throw codec_error("the worker of a task is not a name");
    }
    return result;
}

task_progress read_task(json const& value, std::uint64_t first_run)
{
    constexpr rapidjson::SizeType short_element_count = 2;
    constexpr rapidjson::SizeType element_count = 5;
    task_progress task;
    if (value.IsInt())
    {
        task.done = as_integer_between(value, 0, 1) == 1;
        return task;
    }
    if (value.IsArray() && value.Size() == short_element_count)
    {
        task.run = as_number(value[0]) + first_run;
        if (task.run > static_cast<std::uint64_t>(limits::max_number))
        {
            throw codec_error("the run of a task is out of range");
        }
        task.worker = read_worker(value[1]);
        return task;
    }
    if (!value.IsArray() || value.Size() != element_count
        || !value[0].IsArray())
    {
        throw codec_error(
            "a task is neither an array of 2 elements nor one of 5 that begins "
            "with an array");
    }
    for (auto const& run : value[0].GetArray())
    {
        task.failed_runs.push_back(as_number(run));
    }
    task.highest_ended_run = as_number(value[1]);
    task.run = as_number(value[2]);
    task.worker = read_worker(value[3]);
    task.checkpoint = as_text(value[4]);
    return task;
}

/// Returns the lowest run that a task is written with in the short form; the
/// runs of one owner's term differ in their last digits only.
std::uint64_t first_run_of(progress_record const& record)
{
    std::optional<std::uint64_t> result;
    for (auto const& occurrence : record.occurrences)
    {
        for (auto const& step : occurrence)
        {
            for (auto const& task : step)
            {
                if (!task.done && task != task_progress{} && has_only_run(task))
                {
                    result = std::min(result.value_or(task.run), task.run);
                }
            }
        }
    }
    return result.value_or(0);
}

void write_fields(json_writer& out, progress_record const& record)
{
    auto const first_run = first_run_of(record);
    put_field(out, "id", record.id);
    put_field(out, "first_run", static_cast<std::int64_t>(first_run));
    put_field(out, "phase", static_cast<std::int64_t>(record.phase));
    put_boolean(out, "started", record.started);
    put_field(out, "ended_ms", record.ended_at.count());
    put_key(out, "tasks");
    out.StartArray();
    for (auto const& occurrence : record.occurrences)
    {
        out.StartArray();
        for (auto const& step : occurrence)
        {
            out.StartArray();
            for (auto const& task : step)
            {
                write(out, task, first_run);
            }
            out.EndArray();
        }
        out.EndArray();
    }
    out.EndArray();
}

progress_record read_progress(json const& value)
{
    progress_record record;
    record.id = submission_id_field(value, "id");
    record.phase = static_cast<submission_phase>(integer_between(
        value, "phase", 0, static_cast<int>(submission_phase::cancelled)));
    record.started = boolean(value, "started");
    record.ended_at = milliseconds_up_to(value, "ended_ms", limits::max_time);
    auto const first_run = number_field(value, "first_run");
    auto const* const occurrences = array(value, "tasks");
    if (!occurrences)
    {
        return record;
    }
    for (auto const& occurrence : occurrences->GetArray())
    {
        auto& steps = record.occurrences.emplace_back();
        for (auto const& step : as_array(occurrence))
        {
            auto& tasks = steps.emplace_back();
            for (auto const& task : as_array(step))
            {
                tasks.push_back(read_task(task, first_run));
            }
        }
    }
    return record;
}

void write_fields(json_writer& out, owner_record const& record)
{
    put_field(out, "node", record.node);
    put_field(out, "address", record.address);
    put_field(out, "term", static_cast<std::int64_t>(record.term));
    put_field(out, "incarnation",
              static_cast<std::int64_t>(record.incarnation));
}

void write_fields(json_writer& out, member_record const& record)
{
    put_field(out, "node", record.node);
    put_field(out, "address", record.address);
    put_key(out, "cpu_share");
    out.Double(record.cpu_share);
    put_field(out, "region", record.region);
    put_boolean(out, "assigns_workers", record.assigns_workers);
    put_boolean(out, "assigns_tasks", record.assigns_tasks);
}

void write_fields(json_writer& out, assignment_record const& record)
{
    put_field(out, "worker", record.worker);
    put_field(out, "shard", record.shard);
    put_field(out, "owner_revision",
              static_cast<std::int64_t>(record.owner_revision));
}

void write_fields(json_writer& out, task_assignment_record const& record)
{
    write_task_assignment(out, record);
}

void write_fields(json_writer& out, layout_record const& record)
{
    put_field(out, "shards", record.shards);
}

void write_fields(json_writer& out, relocation_record const& record)
{
    put_field(out, "id", record.id);
    put_field(out, "to", record.second_shard);
    put_field(out, "decided_ms", record.decided_at.count());
}

void write_fields(json_writer& out, cancellation_record const& record)
{
    put_field(out, "id", record.id);
    put_field(out, "cancelled_ms", record.cancelled_at.count());
}

/// Writes an object by serving image of objects by image of the neighbour. Each
/// weight is an array [weight, evidence].
void write_fields(json_writer& out, interference_record const& record)
{
    put_key(out, "weights");
    out.StartObject();
    for (auto const& [serving, weights] : record.by_serving_image)
    {
        put_key(out, serving);
        out.StartObject();
        for (auto const& [neighbour, known] : weights)
        {
            put_key(out, neighbour);
            out.StartArray();
            out.Double(known.weight);
            out.Double(known.evidence);
            out.EndArray();
        }
        out.EndObject();
    }
    out.EndObject();
}

learned_weight read_weight(json const& value)
{
    if (!value.IsArray() || value.Size() != 2 || !value[0].IsNumber()
        || !value[1].IsNumber())
    {
        throw codec_error("a weight is not an array of two numbers");
    }
    learned_weight const result{value[0].GetDouble(), value[1].GetDouble()};
    if (std::abs(result.weight) > limits::max_weight || result.evidence < 0
        || result.evidence > limits::max_weight)
    {
        throw codec_error("a weight is out of range");
    }
    return result;
}

interference_record read_interference(json const& value)
{
    interference_record record;
    auto const* const weights = find(value, "weights");
    if (!weights || !weights->IsObject())
    {
        throw codec_error("field 'weights' is not an object");
    }
    for (auto const& serving : weights->GetObject())
    {
        if (!serving.value.IsObject())
        {
            throw codec_error("an element of field 'weights' is not an object");
        }
        auto& known = record.by_serving_image[as_text(serving.name)];
        for (auto const& neighbour : serving.value.GetObject())
        {
            known.emplace(as_text(neighbour.name),
                          read_weight(neighbour.value));
        }
    }
    return record;
}

void write_fields(json_writer& out, roster_record const& record)
{
    put_key(out, "nodes");
    out.StartArray();
    for (auto const& node : record.nodes)
    {
        put(out, node);
    }
    out.EndArray();
}

roster_record read_roster(json const& value)
{
    roster_record record;
    for (auto& node : texts(value, "nodes"))
    {
        if (!is_name(node))
        {
            throw codec_error("an element of field 'nodes' is not a name");
        }
        record.nodes.insert(std::move(node));
    }
    return record;
}

void write_fields(json_writer& out, serial_record const& record)
{
    put_field(out, "value", static_cast<std::int64_t>(record.value));
}

void write_fields(json_writer& out, fleet_record const& record)
{
    put_key(out, "addresses");
    out.StartObject();
    for (auto const& [worker, address] : record.addresses)
    {
        put_key(out, worker);
        put(out, address);
    }
    out.EndObject();
}

/// Leaves out workers that cannot be reached, so that the others are known: an
/// owner of an earlier release may have stored any address.
fleet_record read_fleet(json const& value)
{
    fleet_record record;
    auto const* const addresses = find(value, "addresses");
    if (!addresses || !addresses->IsObject())
    {
        throw codec_error("field 'addresses' is not an object");
    }
    for (auto const& each : addresses->GetObject())
    {
        auto worker = as_text(each.name);
        if (is_name(worker) && each.value.IsString()
            && is_network_address(as_text(each.value)))
        {
            record.addresses.emplace(std::move(worker), as_text(each.value));
        }
    }
    return record;
}

/// The scheduler never writes records of any other kind.
template<class Record>
void write_fields(json_writer&, Record const&)
{
    throw codec_error("a record that the platform writes cannot be encoded");
}

} // namespace

std::string encode_record(store_record const& record)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    std::visit([&out](auto const& each) { write_fields(out, each); }, record);
    out.EndObject();
    return text_of(buffer);
}

store_record decode_record(record_kind kind, std::string_view bytes)
{
    auto const value = parse_object(bytes);
    switch (kind)
    {
    case record_kind::owner:
        return owner_record{required_name(value, "node"),
                            required_address(value, "address"),
                            static_cast<std::uint64_t>(integer_between(
                                value, "term", 0, limits::max_term)),
                            number_field(value, "incarnation")};
    case record_kind::member:
        return member_record{
            required_name(value, "node"),
            required_address(value, "address"),
            number_between(value, "cpu_share", 0, limits::max_cpu_share),
            short_text(value, "region"),
            boolean(value, "assigns_workers"),
            boolean(value, "assigns_tasks")};
    case record_kind::assignment:
        return assignment_record{
            required_name(value, "worker"),
            static_cast<std::uint32_t>(
                integer_between(value, "shard", 0, limits::max_shards - 1)),
            number_field(value, "owner_revision")};
    case record_kind::task_assignment:
        return read_task_assignment(value);
    case record_kind::layout:
        return layout_record{static_cast<std::uint32_t>(
            integer_between(value, "shards", 1, limits::max_shards))};
    case record_kind::interference:
        return read_interference(value);
    case record_kind::roster:
        return read_roster(value);
    case record_kind::serial:
        return serial_record{number_field(value, "value")};
    case record_kind::fleet:
        return read_fleet(value);
    case record_kind::submission:
        return read_submission(value);
    case record_kind::progress:
        return read_progress(value);
    case record_kind::relocation:
        return relocation_record{
            submission_id_field(value, "id"),
            static_cast<std::uint32_t>(
                integer_between(value, "to", 0, limits::max_shards - 1)),
            milliseconds_up_to(value, "decided_ms", limits::max_time)};
    case record_kind::cancellation:
        return cancellation_record{
            submission_id_field(value, "id"),
            milliseconds_up_to(value, "cancelled_ms", limits::max_time)};
    default:
        throw codec_error(
            "a record of the platform cannot be decoded by decode_record");
    }
}

} // namespace jaydrift::codec
