#include <jaydrift/standin/vm_list.hpp>

namespace jaydrift::standin::vm_list {

namespace {

void add_change(store_context& ctx, vm_info const& vm)
{
    ctx.state.vms[vm.worker] = vm;
    ctx.state.vm_changes.push_back(
        {ctx.now + ctx.state.settings.vm_list_lag, vm});
}

std::string_view event_name(vm_state state)
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

void on_register(store_context& ctx, register_vm const& event)
{
    ctx.record("vm_registered", event.vm.worker);
    add_change(ctx, event.vm);
}

void on_mark(store_context& ctx, mark_vm const& event)
{
    auto const found = ctx.state.vms.find(event.worker);
    if (found == ctx.state.vms.end())
    {
        return;
    }
    ctx.record(event_name(event.state), event.worker);
    auto vm = found->second;
    vm.state = event.state;
    add_change(ctx, vm);
}

void publish_changes(store_context& ctx)
{
    auto& state = ctx.state;
    while (!state.vm_changes.empty()
           && state.vm_changes.front().visible_at <= ctx.now)
    {
        auto& vm = state.vm_changes.front().vm;
        state.vm_list[vm.worker] = {vm, ++state.vm_list_revision};
        state.vm_changes.pop_front();
    }
}

store_reply reply_to(store_context& ctx, list_vms_request const& request)
{
    store_reply reply;
    reply.revision = ctx.state.vm_list_revision;
    for (auto const& [worker, listed] : ctx.state.vm_list)
    {
        if (listed.revision > request.after_revision)
        {
            reply.vms.push_back(listed.vm);
        }
    }
    return reply;
}

} // namespace jaydrift::standin::vm_list
