#include <jaydrift/decide/forward_steps.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/request_steps.hpp>

#include <algorithm>
#include <utility>

namespace jaydrift::decide::requests {

void schedule_forward(daemon_state& state, std::uint64_t number,
                      forward_entry& entry, time_ms due)
{
    auto& requests = state.requests;
    requests.forwards_due.erase({entry.due, number});
    entry.due = std::min(due, entry.waiter.deadline);
    requests.forwards_due.emplace(entry.due, number);
}

void close_call(daemon_state& state, forward_entry& entry)
{
    state.requests.forward_of_call.erase(entry.correlation);
    entry.correlation = 0;
}

forward_entry take_forward(daemon_state& state, std::uint64_t number)
{
    auto& requests = state.requests;
    auto const found = requests.forwards.find(number);
    auto entry = std::move(found->second);
    close_call(state, entry);
    requests.forwards_due.erase({entry.due, number});
    requests.payload_bytes -= entry.request.payload.size();
    requests.forwards.erase(found);
    return entry;
}

bool forward_sent(daemon_state const& state, std::uint64_t number)
{
    auto const found = state.requests.forwards.find(number);
    return found != state.requests.forwards.end()
           && (found->second.sent || found->second.correlation != 0);
}

void cancel_forward(daemon_state& state, std::uint64_t number)
{
    if (state.requests.forwards.contains(number))
    {
        take_forward(state, number);
    }
}

} // namespace jaydrift::decide::requests
