#include <jaydrift/scenario/world.hpp>

#include <jaydrift/decide/reduce.hpp>

#include <memory>
#include <stdexcept>
#include <type_traits>
#include <utility>
#include <variant>

namespace jaydrift::scenario {

namespace {

constexpr time_ms never{std::int64_t{1} << 60U};

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

void world::start_daemon(std::string const& name)
{
    auto& node = find_node(daemons_, name);
    node.state = std::make_unique<decide::daemon_state>(node.settings);
    node.alive = true;
    node.frozen = false;
    ++node.incarnation;
    node.waiting.clear();
    node.calls.clear();
    note(name, "starts");
    deliver(node, decide::timer_due{});
}

void world::kill_daemon(std::string const& name)
{
    auto& node = find_node(daemons_, name);
    node.alive = false;
    node.frozen = false;
    ++node.incarnation;
    node.calls.clear();
    node.waiting.clear();
    note(name, "dies");
}

void world::freeze_daemon(std::string const& name)
{
    find_node(daemons_, name).frozen = true;
    note(name, "freezes");
}

void world::resume_daemon(std::string const& name)
{
    auto& node = find_node(daemons_, name);
    node.frozen = false;
    note(name, "resumes");
    auto waiting = std::exchange(node.waiting, {});
    for (auto const& input : waiting)
    {
        deliver(node, input);
    }
    deliver(node, decide::timer_due{});
}

void world::stop_daemon(std::string const& name)
{
    deliver(find_node(daemons_, name), decide::stop_requested{});
}

void world::exit(daemon_node& node) { kill_daemon(node.name); }

void world::deliver(daemon_node& node, decide::event const& input)
{
    if (!node.alive)
    {
        return;
    }
    if (node.frozen)
    {
        if (!std::holds_alternative<decide::timer_due>(input))
        {
            node.waiting.push_back(input);
        }
        return;
    }
    run_daemon(node, input);
}

void world::run_daemon(daemon_node& node, decide::event const& input)
{
    auto const effects =
        decide::reduce(*node.state, input, now_ + node.clock_offset);
    auto const incarnation = node.incarnation;
    for (auto const& item : effects)
    {
        interpret(node, item);
        if (node.incarnation != incarnation)
        {
            return;
        }
    }
    arm_timer(node);
}

void world::arm_timer(daemon_node& node)
{
    auto const due = decide::next_timer(*node.state);
    if (due.count() >= never.count())
    {
        return;
    }
    // A timer that is due at once again would stop the virtual clock.
    auto const when = std::max(due - node.clock_offset, now_ + time_ms(1));
    if (node.timer_at > now_ && node.timer_at <= when)
    {
        return;
    }
    node.timer_at = when;
    at(when, [this, &node, when, life = node.incarnation] {
        if (node.incarnation == life && node.timer_at == when)
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

void world::interpret(daemon_node& node, decide::effect const& item)
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
                perform(node, value);
            }
            else if constexpr (std::is_same_v<type, decide::write_log>)
            {
                note(node.name, "[" + value.part + "] " + value.text);
            }
            else if constexpr (std::is_same_v<type, decide::record_event>)
            {
                note(node.name, value.name + " " + value.request + " "
                                    + value.task + " " + value.detail);
            }
            else if constexpr (std::is_same_v<type, decide::exit_process>)
            {
                exit(node);
            }
            else if constexpr (!std::is_same_v<type, decide::observe>)
            {
                answer(node, value.call, item);
            }
        },
        item);
}

void world::answer(daemon_node& node, std::uint64_t call,
                   decide::effect const& item)
{
    auto const found = node.calls.find(call);
    if (found == node.calls.end())
    {
        note(node.name, "answers an unknown call");
        return;
    }
    auto const reply = std::move(found->second);
    node.calls.erase(found);
    reply(item);
}

std::function<void(decide::event const&)> world::deliver_once(daemon_node& node)
{
    auto const done = std::make_shared<bool>(false);
    return [this, &node, done,
            life = node.incarnation](decide::event const& input) {
        if (!*done && node.incarnation == life)
        {
            *done = true;
            deliver(node, input);
        }
    };
}

void world::perform(daemon_node& node, decide::send_worker const& item)
{
    auto const finish = deliver_once(node);
    auto const found = workers_.find(item.address);
    if (found == workers_.end() || !found->second.alive)
    {
        at(now_ + time_ms(1), [=] {
            finish(decide::worker_failed{item.worker, item.correlation, true});
        });
        return;
    }
    auto& target = found->second;
    auto const there = network_.delay(node.name, item.address);
    for (int copy = there && network_.doubles() ? 2 : 1; copy > 0 && there;
         --copy)
    {
        at(now_ + *there, [this, &target, &node, item, finish,
                           target_life = target.incarnation] {
            if (!target.alive || target.incarnation != target_life)
            {
                return;
            }
            call_worker(target, item.request,
                        [=, this, &node](auto const& reply) {
                            if (auto const back =
                                    network_.delay(item.address, node.name))
                            {
                                at(now_ + *back, [=] {
                                    finish(decide::worker_replied{
                                        item.worker, item.correlation, reply});
                                });
                            }
                        });
        });
    }
    at(now_ + item.timeout, [=] {
        finish(decide::worker_failed{item.worker, item.correlation, false});
    });
}

void world::perform(daemon_node& node, decide::send_store const& item)
{
    auto const finish = deliver_once(node);
    if (auto const there = network_.delay(node.name, "store"))
    {
        at(now_ + *there, [this, &node, item, finish] {
            call_store(item.request, [=, this, &node](auto const& reply) {
                if (auto const back = network_.delay("store", node.name))
                {
                    at(now_ + *back, [=] {
                        finish(decide::store_replied{item.correlation, reply});
                    });
                }
            });
        });
    }
    at(now_ + item.timeout, [=] {
        finish(decide::store_failed{item.correlation, false});
    });
}

void world::perform(daemon_node& node, decide::send_peer const& item)
{
    auto const finish = deliver_once(node);
    auto const found = daemons_.find(item.address);
    if (found == daemons_.end() || !found->second.alive)
    {
        at(now_ + time_ms(1), [=] {
            finish(decide::peer_failed{item.daemon, item.correlation, true});
        });
        return;
    }
    if (auto const there = network_.delay(node.name, item.address))
    {
        auto const respond = [=, this, &node](decide::effect const& output) {
            auto const back = network_.delay(item.address, node.name);
            auto const* const reply = std::get_if<decide::answer_peer>(&output);
            if (back && reply != nullptr)
            {
                at(now_ + *back, [=, content = reply->reply] {
                    finish(decide::peer_replied{item.daemon, item.correlation,
                                                content});
                });
            }
        };
        at(now_ + *there, [=, this, &node] {
            call_daemon(
                item.address,
                [&](std::uint64_t call) {
                    auto request = item.request;
                    auto* const execute =
                        std::get_if<execute_request>(&request);
                    if (execute != nullptr && execute->request.issued_at)
                    {
                        *execute->request.issued_at +=
                            daemons_.at(item.address).clock_offset
                            - node.clock_offset;
                    }
                    return decide::peer_called{call, request};
                },
                respond);
        });
    }
    at(now_ + item.timeout, [=] {
        finish(decide::peer_failed{item.daemon, item.correlation, false});
    });
}

void world::call_daemon(std::string const& name,
                        std::function<decide::event(std::uint64_t)> const& make,
                        std::function<void(decide::effect const&)> reply)
{
    auto& node = find_node(daemons_, name);
    if (!node.alive)
    {
        return;
    }
    auto const call = ++node.last_call;
    node.calls.emplace(call, std::move(reply));
    deliver(node, make(call));
}

} // namespace jaydrift::scenario
