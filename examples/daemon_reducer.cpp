// Uses the decide library without a daemon process: passes a few events to the
// daemon's reducer and prints the effects that it returns.

#include <cstdlib>
#include <exception>
#include <iostream>
#include <variant>

#include <jaydrift/app/type_names.hpp>
#include <jaydrift/core/virtual_clock.hpp>
#include <jaydrift/decide/daemon_state.hpp>
#include <jaydrift/decide/reduce.hpp>

namespace {

using namespace jaydrift;
using namespace jaydrift::literals;

decide::daemon_settings example_settings()
{
    decide::daemon_settings settings;
    settings.self = {"entry-1", "127.0.0.1:7470", "north", "arima"};
    settings.peers = {{"entry-2", "127.0.0.1:7471", "south", "san-fernando"}};
    settings.regions = {"north", "south"};
    return settings;
}

void print(decide::effect const& effect)
{
    std::cout << "    " << app::type_name(effect);
    if (auto const* line = std::get_if<decide::write_log>(&effect))
    {
        std::cout << ": [" << line->part << "] " << line->text;
    }
    else if (auto const* event = std::get_if<decide::record_event>(&effect))
    {
        std::cout << ": " << event->name;
    }
    else if (auto const* call = std::get_if<decide::send_peer>(&effect))
    {
        std::cout << ": to " << call->daemon;
    }
    std::cout << '\n';
}

void step(decide::daemon_state& state, decide::event const& input,
          virtual_clock const& clock)
{
    std::cout << clock.now().count() << " ms: " << app::type_name(input)
              << '\n';
    for (auto const& effect : decide::reduce(state, input, clock.now()))
    {
        print(effect);
    }
}

void run()
{
    decide::daemon_state state(example_settings());
    virtual_clock clock;
    step(state, decide::timer_due{}, clock);

    urgent_request request;
    request.id = "tally-1";
    request.kind = "plate_tally";
    request.time_limit = 500_ms;
    step(state, decide::request_arrived{1, request}, clock);

    step(state, decide::stop_requested{}, clock);
    clock.advance(state.settings.drain);
    step(state, decide::timer_due{}, clock);
}

} // namespace

int main()
{
    try
    {
        run();
    }
    catch (std::exception const& error)
    {
        std::cerr << "daemon_reducer: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
