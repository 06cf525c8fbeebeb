#include <jaydrift/standin/vm_list.hpp>

namespace jaydrift::standin::vm_list {

namespace {

void change(store_step& step, vm_info const& vm)
{
    step.state.vms[vm.worker] = vm;
    step.state.vm_changes.push_back(
        {step.now + step.state.settings.vm_list_lag, vm});
}

std::string_view name_of(vm_state state)
{
    switch (state)
    {
    case vm_state::live:
        return "vm_live";
    case vm_state::leaving:
        return "vm_leaving";
    case vm_state::gone:
        return "vm_gone";
    }
    return "vm_changed";
}

} // namespace

void on_register(store_step& step, register_vm const& event)
{
    step.record("vm_registered", event.vm.worker);
    change(step, event.vm);
}

void on_mark(store_step& step, mark_vm const& event)
{
    auto const found = step.state.vms.find(event.worker);
    if (found == step.state.vms.end())
    {
        return;
    }
    step.record(name_of(event.state), event.worker);
    auto vm = found->second;
    vm.state = event.state;
    change(step, vm);
}

void show_changes(store_step& step)
{
    auto& state = step.state;
    while (!state.vm_changes.empty()
           && state.vm_changes.front().visible_at <= step.now)
    {
        auto& vm = state.vm_changes.front().vm;
        state.vm_list[vm.worker] = {vm, ++state.vm_list_revision};
        state.vm_changes.pop_front();
    }
}

store_reply run(store_step& step, list_vms_request const& request)
{
    store_reply reply;
    reply.revision = step.state.vm_list_revision;
    for (auto const& [worker, listed] : step.state.vm_list)
    {
        if (listed.revision > request.after_revision)
        {
            reply.vms.push_back(listed.vm);
        }
    }
    return reply;
}

} // namespace jaydrift::standin::vm_list
