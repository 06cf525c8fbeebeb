#include <jaydrift/app/standin_stats.hpp>

#include <jaydrift/core/vm_info.hpp>
#include <jaydrift/standin/backend_state.hpp>
#include <jaydrift/standin/store_state.hpp>
#include <jaydrift/standin/worker_state.hpp>

#include <capnp/compat/json.h>
#include <capnp/message.h>

#include <initializer_list>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace jaydrift::app {

namespace {

using json_value = capnp::JsonValue::Builder;
using json_fields = capnp::List<capnp::JsonValue::Field>::Builder;
using number_field = std::pair<std::string_view, std::int64_t>;

/// Writes the fields of a JSON object in order. The object must have been
/// initialized with exactly as many fields as are written.
class field_writer
{
public:
    explicit field_writer(json_fields fields) : fields_(fields) {}

    /// Names the next field and returns its value, to be set by the caller.
    json_value next(std::string_view name)
    {
        auto field = fields_[position_++];
        field.setName(capnp::Text::Reader(name.data(), name.size()));
        return field.initValue();
    }

    void text(std::string_view name, std::string const& value)
    {
        next(name).setString(value);
    }

    void number(std::string_view name, std::int64_t value)
    {
        next(name).setNumber(static_cast<double>(value));
    }

    void boolean(std::string_view name, bool value)
    {
        next(name).setBoolean(value);
    }

private:
    json_fields fields_;
    unsigned position_ = 0;
};

void write_numbers(json_value target,
                   std::initializer_list<number_field> numbers)
{
    field_writer fields(
        target.initObject(static_cast<unsigned>(numbers.size())));
    for (auto const& [name, value] : numbers)
    {
        fields.number(name, value);
    }
}

void write_resources(json_value target, resources const& amount)
{
    write_numbers(target, {{"millicores", amount.millicores},
                           {"memoryMb", amount.memory_mb},
                           {"accelerators", amount.accelerators}});
}

std::string to_json(capnp::MallocMessageBuilder& message)
{
    capnp::JsonCodec const codec;
    return codec.encodeRaw(message.getRoot<capnp::JsonValue>()).cStr();
}

std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::string_view name_of(standin::run_change change)
{
    switch (change)
    {
    case standin::run_change::started:
        return "started";
    case standin::run_change::ended:
        return "ended";
    case standin::run_change::withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

void write_running(json_value target, standin::worker_state const& state)
{
    auto items = target.initArray(static_cast<unsigned>(state.running.size()));
    unsigned position = 0;
    for (auto const& id : state.running)
    {
        auto const& run = state.runs.find(id)->second;
        field_writer fields(items[position++].initObject(3));
        fields.text("task", id);
        fields.text("kind", run.task.kind);
        fields.number("attempt", run.attempt);
    }
}

void write_run_log(json_value target, standin::worker_state const& state,
                   time_ms wall_offset)
{
    auto items = target.initArray(static_cast<unsigned>(state.log.size()));
    unsigned position = 0;
    for (auto const& entry : state.log)
    {
        field_writer fields(items[position++].initObject(4));
        fields.number("atMs", (entry.at + wall_offset).count());
        fields.text("task", entry.task);
        fields.number("attempt", entry.attempt);
        fields.text("change", std::string(name_of(entry.change)));
    }
}

} // namespace

std::string stats_to_json(standin::store_state const& state)
{
    auto const& stats = state.stats;
    capnp::MallocMessageBuilder message;
    write_numbers(message.initRoot<capnp::JsonValue>(),
                  {{"puts", to_signed(stats.puts)},
                   {"erases", to_signed(stats.erases)},
                   {"reads", to_signed(stats.reads)},
                   {"watches", to_signed(stats.watches)},
                   {"leaseGrants", to_signed(stats.lease_grants)},
                   {"keepAlives", to_signed(stats.keep_alives)},
                   {"vmLists", to_signed(stats.vm_lists)},
                   {"overloaded", to_signed(stats.overloaded)},
                   {"dropped", to_signed(stats.dropped)},
                   {"revision", to_signed(state.revision)},
                   {"keys", to_signed(state.values.size())},
                   {"leases", to_signed(state.leases.size())},
                   {"waitingWatches", to_signed(state.watches.size())},
                   {"vms", to_signed(state.vms.size())},
                   {"outage", state.outage ? 1 : 0},
                   {"slownessMs", state.slowness.count()},
                   {"answersToLose", to_signed(state.answers_to_lose)}});
    return to_json(message);
}

std::string stats_to_json(standin::worker_state const& state, vm_info const& vm,
                          time_ms wall_offset)
{
    capnp::MallocMessageBuilder message;
    field_writer fields(message.initRoot<capnp::JsonValue>().initObject(11));
    fields.text("worker", vm.worker);
    fields.text("region", vm.region);
    fields.text("zone", vm.zone);
    fields.text("rack", vm.rack);
    write_resources(fields.next("capacity"), state.settings.capacity);
    write_resources(fields.next("used"), state.used);
    write_resources(fields.next("maxUsed"), state.max_used);
    fields.boolean("leaving", state.leaving);
    fields.number("policyVersion", to_signed(state.policy_version));
    write_running(fields.next("running"), state);
    write_run_log(fields.next("runs"), state, wall_offset);
    return to_json(message);
}

std::string stats_to_json(standin::backend_state const& state)
{
    capnp::MallocMessageBuilder message;
    field_writer fields(message.initRoot<capnp::JsonValue>().initObject(3));
    fields.number("running", to_signed(state.running.size()));
    fields.boolean("draining", state.draining);
    field_writer counts(
        fields.next("executions")
            .initObject(static_cast<unsigned>(state.executions.size())));
    for (auto const& [request, count] : state.executions)
    {
        counts.number(request, to_signed(count));
    }
    return to_json(message);
}

} // namespace jaydrift::app
