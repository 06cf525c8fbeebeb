#include <jaydrift/scenario/simulation.hpp>

#include <jaydrift/decide/policy_record.hpp>
#include <jaydrift/standin/answer_body.hpp>
#include <jaydrift/standin/reduce_store.hpp>
#include <jaydrift/standin/reduce_worker.hpp>
#include <jaydrift/standin/worker_oracle.hpp>

#include <algorithm>
#include <span>
#include <utility>
#include <variant>

namespace jaydrift::scenario {

namespace {

/// Later than every time of a simulation; marks a timer that is not set.
constexpr time_ms never{std::int64_t{1} << 60U};

} // namespace

void simulation::kill_worker(std::string const& name)
{
    auto& node = workers_.at(name);
    node.alive = false;
    ++node.incarnation;
    node.calls.clear();
    oracle_.on_worker_died(name);
    add_trace(name, "dies");
}

void simulation::start_worker(std::string const& name)
{
    auto& node = workers_.at(name);
    node.alive = true;
    ++node.incarnation;
    node.state = standin::worker_state();
    node.state.settings.capacity = settings_.worker_capacity;
    node.checked_log_entries = 0;
    node.timer_at = never;
    add_trace(name, "starts");
    oracle_.on_worker_replaced(name);
    run_store(standin::mark_vm{name, vm_state::live});
}

void simulation::mark_worker(std::string const& name, vm_state state)
{
    add_trace(name,
              state == vm_state::leaving ? "is leaving" : "changes state");
    if (state == vm_state::leaving)
    {
        oracle_.on_leaving(name, now_);
        // The worker learns that it is leaving when the VM list shows it.
        schedule(now_ + store_.settings.vm_list_lag,
                 [this, name, incarnation = workers_.at(name).incarnation] {
                     auto& node = workers_.at(name);
                     if (node.incarnation == incarnation)
                     {
                         run_worker(node, standin::set_worker_fault{
                                              standin::worker_fault::leave, 1});
                     }
                 });
    }
    run_store(standin::mark_vm{name, state});
}

void simulation::set_worker_fault(std::string const& name,
                                  standin::worker_fault fault,
                                  std::int64_t value)
{
    run_worker(workers_.at(name), standin::set_worker_fault{fault, value});
}

void simulation::set_store_fault(standin::store_fault fault, std::int64_t value)
{
    run_store(standin::set_store_fault{fault, value});
}

void simulation::call_worker(worker_node& node, worker_request const& request,
                             std::function<void(worker_reply const&)> on_reply)
{
    auto const call = ++node.last_call;
    node.calls.emplace(call, std::move(on_reply));
    run_worker(node, standin::worker_called{call, request});
}

void simulation::run_worker(worker_node& node,
                            standin::worker_event const& input)
{
    if (!node.alive)
    {
        return;
    }
    auto const effects =
        standin::reduce(node.state, input, now_ + node.clock_offset);
    report_to_oracle(node);
    for (auto const& effect : effects)
    {
        if (auto const* const reply =
                std::get_if<standin::answer_worker_call>(&effect))
        {
            auto const found = node.calls.find(reply->number);
            if (found != node.calls.end())
            {
                auto const on_reply = std::move(found->second);
                node.calls.erase(found);
                on_reply(reply->reply);
            }
        }
        else if (auto const* const run =
                     std::get_if<standin::run_on_executor>(&effect))
        {
            schedule(now_ + settings_.service_time, [this, &node, run = *run,
                                                     incarnation =
                                                         node.incarnation] {
                if (node.incarnation == incarnation)
                {
                    run_worker(node, standin::executor_answered{
                                         run.task, run.attempt,
                                         standin::executor_result::finished,
                                         standin::answer_body(
                                             run.task, run.kind, run.payload)});
                }
            });
        }
    }
    arm_timer(node);
}

void simulation::arm_timer(worker_node& node)
{
    auto const reducer_due = standin::next_timer(node.state);
    if (reducer_due.count() >= never.count())
    {
        return;
    }
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
            run_worker(node, standin::timer_due{});
        }
    });
}

void simulation::report_to_oracle(worker_node& node)
{
    auto const run_log = std::span(node.state.log);
    oracle_.on_runs(node.vm.worker, node.vm.zone,
                    run_log.subspan(node.checked_log_entries), now_);
    node.checked_log_entries = run_log.size();
    oracle_.on_resources(node.vm.worker, standin::held_resources(node.state),
                         node.state.settings.capacity, now_);
}

void simulation::call_store(store_request const& request,
                            std::function<void(store_reply const&)> on_reply)
{
    auto const call = ++last_store_call_;
    store_calls_.emplace(call, std::move(on_reply));
    run_store(standin::store_called{call, request});
}

void simulation::run_store(standin::store_event const& input)
{
    auto const effects = standin::reduce(store_, input, now_);
    report_policy_to_oracle();
    for (auto const& effect : effects)
    {
        if (auto const* const reply =
                std::get_if<standin::answer_store_call>(&effect))
        {
            auto const found = store_calls_.find(reply->number);
            if (found != store_calls_.end())
            {
                auto const on_reply = std::move(found->second);
                store_calls_.erase(found);
                on_reply(reply->reply);
            }
        }
        else if (auto const* const dropped =
                     std::get_if<standin::drop_store_call>(&effect))
        {
            store_calls_.erase(dropped->number);
        }
    }
    arm_store_timer();
}

void simulation::report_policy_to_oracle()
{
    auto const found = store_.values.find("policy/current");
    if (found == store_.values.end()
        || found->second.revision == policy_revision_)
    {
        return;
    }
    policy_revision_ = found->second.revision;
    auto const record = decide::decode_policy_record(found->second.value);
    for (auto const& zone : record.current.zones)
    {
        if (zone.open)
        {
            oracle_.on_zone_open(zone.name, record.current.version);
        }
    }
}

void simulation::arm_store_timer()
{
    auto const reducer_due = standin::next_timer(store_);
    if (reducer_due.count() >= never.count())
    {
        return;
    }
    auto const due = std::max(reducer_due, now_ + time_ms(1));
    if (store_timer_at_ > now_ && store_timer_at_ <= due)
    {
        return;
    }
    store_timer_at_ = due;
    schedule(due, [this, due] {
        if (store_timer_at_ == due)
        {
            store_timer_at_ = time_ms(0);
            run_store(standin::timer_due{});
        }
    });
}

} // namespace jaydrift::scenario
