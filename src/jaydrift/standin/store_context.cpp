#include <jaydrift/standin/store_context.hpp>

#include <string>

namespace jaydrift::standin {

void store_context::answer(std::uint64_t number, store_reply reply)
{
    answer_store_call result{number, std::move(reply)};
    if (state.slowness > time_ms(0))
    {
        state.delayed.push_back({now + state.slowness, std::move(result)});
        return;
    }
    effects.emplace_back(std::move(result));
}

void store_context::drop(std::uint64_t number)
{
    ++state.stats.dropped;
    effects.emplace_back(drop_store_call{number});
}

void store_context::record(std::string_view name, std::string_view detail)
{
    effects.emplace_back(
        record_event{std::string(name), {}, {}, std::string(detail)});
}

} // namespace jaydrift::standin
