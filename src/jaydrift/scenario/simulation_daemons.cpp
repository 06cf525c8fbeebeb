#include <jaydrift/scenario/simulation.hpp>

#include <jaydrift/decide/reduce.hpp>

#include <memory>
#include <stdexcept>
#include <type_traits>
#include <utility>
#include <variant>

namespace jaydrift::scenario {

namespace {

/// Later than every time of a simulation; marks a timer that is not set.
constexpr time_ms never{std::int64_t{1} << 60U};

/// Returns the node of a process. Throws `std::invalid_argument` if there is no
/// such process.
template<class Map>
auto& find_node(Map& nodes, std::string const& name)
{
    auto const found = nodes.find(name);
    if (found == nodes.end())
    {
        throw std::invalid_argument("unknown process '" + name + "'");
    }
    return found->second;
}

} // namespace

void simulation::start_daemon(std::string const& name)
{
    auto& node = find_node(daemons_, name);
    node.state = std::make_unique<decide::daemon_state>(node.settings);
    node.alive = true;
    node.frozen = false;
    ++node.incarnation;
    node.deferred_events.clear();
    node.calls.clear();
    add_trace(name, "starts");
    deliver(node, decide::timer_due{});
}

void simulation::kill_daemon(std::string const& name)
{
    auto& node = find_node(daemons_, name);
    node.alive = false;
    node.frozen = false;
    ++node.incarnation;
    node.calls.clear();
    node.deferred_events.clear();
    add_trace(name, "dies");
}

void simulation::freeze_daemon(std::string const& name)
{
    find_node(daemons_, name).frozen = true;
    add_trace(name, "freezes");
}

void simulation::resume_daemon(std::string const& name)
{
    auto& node = find_node(daemons_, name);
    node.frozen = false;
    add_trace(name, "resumes");
    auto deferred_events = std::exchange(node.deferred_events, {});
    for (auto const& input : deferred_events)
    {
        deliver(node, input);
    }
    deliver(node, decide::timer_due{});
}

void simulation::stop_daemon(std::string const& name)
{
    deliver(find_node(daemons_, name), decide::stop_requested{});
}

void simulation::exit_daemon(daemon_node& node) { kill_daemon(node.name); }

void simulation::deliver(daemon_node& node, decide::event const& input)
{
    if (!node.alive)
    {
        return;
    }
    if (node.frozen)
    {
        if (!std::holds_alternative<decide::timer_due>(input))
        {
            node.deferred_events.push_back(input);
        }
        return;
    }
    run_daemon(node, input);
}

void simulation::run_daemon(daemon_node& node, decide::event const& input)
{
    auto const effects =
        decide::reduce(*node.state, input, now_ + node.clock_offset);
    auto const incarnation = node.incarnation;
    for (auto const& effect : effects)
    {
        interpret(node, effect);
        if (node.incarnation != incarnation)
        {
            return;
        }
    }
    arm_timer(node);
}

void simulation::arm_timer(daemon_node& node)
{
    auto const reducer_due = decide::next_timer(*node.state);
    if (reducer_due.count() >= never.count())
    {
        return;
    }
    // A timer that is due again at the same time would keep the virtual clock
    // from advancing.
    auto const due =
        std::max(reducer_due - node.clock_offset, now_ + time_ms(1));
    if (node.timer_at > now_ && node.timer_at <= due)
    {
        return;
    }
    node.timer_at = due;
    schedule(due, [this, &node, due, incarnation = node.incarnation] {
        if (node.incarnation == incarnation && node.timer_at == due)
        {
            node.timer_at = never;
            deliver(node, decide::timer_due{});
            if (node.alive && node.frozen)
            {
                node.timer_at = never;
            }
        }
    });
}

void simulation::interpret(daemon_node& node, decide::effect const& effect)
{
    std::visit(
        [&](auto const& value) {
            using type = std::decay_t<decltype(value)>;
            if constexpr (
                std::is_same_v<
                    type,
                    decide::
                        send_worker> || std::is_same_v<type, decide::send_store> || std::is_same_v<type, decide::send_peer>)
            {
                send(node, value);
            }
            else if constexpr (std::is_same_v<type, decide::write_log>)
            {
                add_trace(node.name, "[" + value.part + "] " + value.text);
            }
            else if constexpr (std::is_same_v<type, decide::record_event>)
            {
                add_trace(node.name, value.name + " " + value.request + " "
                                         + value.task + " " + value.detail);
            }
            else if constexpr (std::is_same_v<type, decide::exit_process>)
            {
                exit_daemon(node);
            }
            else if constexpr (!std::is_same_v<type, decide::observe>)
            {
                answer_call(node, value.call, effect);
            }
        },
        effect);
}

void simulation::answer_call(daemon_node& node, std::uint64_t call,
                             decide::effect const& effect)
{
    auto const found = node.calls.find(call);
    if (found == node.calls.end())
    {
        add_trace(node.name, "answers a call that is not open");
        return;
    }
    auto const on_answer = std::move(found->second);
    node.calls.erase(found);
    on_answer(effect);
}

std::function<void(decide::event const&)>
simulation::deliver_once(daemon_node& node)
{
    auto const delivered = std::make_shared<bool>(false);
    return [this, &node, delivered,
            incarnation = node.incarnation](decide::event const& input) {
        if (!*delivered && node.incarnation == incarnation)
        {
            *delivered = true;
            deliver(node, input);
        }
    };
}

void simulation::send(daemon_node& node, decide::send_worker const& effect)
{
    auto const deliver_result = deliver_once(node);
    auto const found = workers_.find(effect.address);
    if (found == workers_.end() || !found->second.alive)
    {
        schedule(now_ + time_ms(1), [=] {
            deliver_result(
                decide::worker_failed{effect.worker, effect.correlation, true});
        });
        return;
    }
    auto& receiver = found->second;
    auto const request_delay = network_.delay(node.name, effect.address);
    for (int copies = request_delay && network_.duplicates_next() ? 2 : 1;
         copies > 0 && request_delay; --copies)
    {
        schedule(now_ + *request_delay, [this, &receiver, &node, effect,
                                         deliver_result,
                                         receiver_incarnation =
                                             receiver.incarnation] {
            if (!receiver.alive || receiver.incarnation != receiver_incarnation)
            {
                return;
            }
            call_worker(
                receiver, effect.request, [=, this, &node](auto const& reply) {
                    if (auto const reply_delay =
                            network_.delay(effect.address, node.name))
                    {
                        schedule(now_ + *reply_delay, [=] {
                            deliver_result(decide::worker_replied{
                                effect.worker, effect.correlation, reply});
                        });
                    }
                });
        });
    }
    schedule(now_ + effect.timeout, [=] {
        deliver_result(
            decide::worker_failed{effect.worker, effect.correlation, false});
    });
}

void simulation::send(daemon_node& node, decide::send_store const& effect)
{
    auto const deliver_result = deliver_once(node);
    if (auto const request_delay = network_.delay(node.name, "store"))
    {
        schedule(now_ + *request_delay, [this, &node, effect, deliver_result] {
            call_store(effect.request, [=, this, &node](auto const& reply) {
                if (auto const reply_delay = network_.delay("store", node.name))
                {
                    schedule(now_ + *reply_delay, [=] {
                        deliver_result(
                            decide::store_replied{effect.correlation, reply});
                    });
                }
            });
        });
    }
    schedule(now_ + effect.timeout, [=] {
        deliver_result(decide::store_failed{effect.correlation, false});
    });
}

void simulation::send(daemon_node& node, decide::send_peer const& effect)
{
    auto const deliver_result = deliver_once(node);
    auto const found = daemons_.find(effect.address);
    if (found == daemons_.end() || !found->second.alive)
    {
        schedule(now_ + time_ms(1), [=] {
            deliver_result(
                decide::peer_failed{effect.daemon, effect.correlation, true});
        });
        return;
    }
    if (auto const request_delay = network_.delay(node.name, effect.address))
    {
        auto const deliver_answer = [=, this,
                                     &node](decide::effect const& answer) {
            auto const reply_delay = network_.delay(effect.address, node.name);
            auto const* const reply = std::get_if<decide::answer_peer>(&answer);
            if (reply_delay && reply != nullptr)
            {
                schedule(now_ + *reply_delay, [=, peer_reply = reply->reply] {
                    deliver_result(decide::peer_replied{
                        effect.daemon, effect.correlation, peer_reply});
                });
            }
        };
        schedule(now_ + *request_delay, [=, this, &node] {
            call_daemon(
                effect.address,
                [&](std::uint64_t call) {
                    auto request = effect.request;
                    auto* const execution =
                        std::get_if<execute_request>(&request);
                    // An issue time is on the clock of the daemon that handles
                    // the request.
                    if (execution != nullptr && execution->request.issued_at)
                    {
                        *execution->request.issued_at +=
                            daemons_.at(effect.address).clock_offset
                            - node.clock_offset;
                    }
                    return decide::peer_called{call, request};
                },
                deliver_answer);
        });
    }
    schedule(now_ + effect.timeout, [=] {
        deliver_result(
            decide::peer_failed{effect.daemon, effect.correlation, false});
    });
}

void simulation::call_daemon(
    std::string const& name,
    std::function<decide::event(std::uint64_t)> const& make_event,
    std::function<void(decide::effect const&)> on_answer)
{
    auto& node = find_node(daemons_, name);
    if (!node.alive)
    {
        return;
    }
    auto const call = ++node.last_call;
    node.calls.emplace(call, std::move(on_answer));
    deliver(node, make_event(call));
}

} // namespace jaydrift::scenario
