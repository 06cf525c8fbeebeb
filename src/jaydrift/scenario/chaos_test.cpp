#include <jaydrift/scenario/world.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <jaydrift/decide/ownership.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace jaydrift::scenario {

namespace {

using namespace literals;

/// Brings random faults about in a deployment under load.
class chaos
{
public:
    chaos(world& target, std::uint64_t seed)
        : world_(target), random_(seed), daemons_(target.daemon_names()),
          workers_(target.worker_names())
    {
    }

    /// Brings one fault about, or sends some work.
    void step()
    {
        using action = void (chaos::*)();
        static constexpr action actions[] = {
            &chaos::send_request, &chaos::send_request, &chaos::send_request,
            &chaos::send_job,     &chaos::kill_daemon,  &chaos::start_daemon,
            &chaos::freeze,       &chaos::resume,       &chaos::fault_store,
            &chaos::cut,          &chaos::heal,         &chaos::zone,
            &chaos::kill_worker,  &chaos::leave,        &chaos::messages};
        (this->*actions[random_.below(std::size(actions))])();
        world_.advance(
            time_ms(static_cast<std::int64_t>(random_.below(max_pause_ms))));
    }

    /// Ends every fault.
    void end()
    {
        world_.network().heal();
        world_.network().set_chaos(0, 0, 0_ms);
        world_.set_store_fault(standin::store_fault::outage, 0);
        world_.set_store_fault(standin::store_fault::slowness, 0);
        for (auto const& name : daemons_)
        {
            if (world_.daemon(name).frozen)
            {
                world_.resume_daemon(name);
            }
            if (!world_.daemon(name).alive)
            {
                world_.start_daemon(name);
            }
        }
        for (auto const& name : workers_)
        {
            if (!world_.worker(name).alive)
            {
                world_.start_worker(name);
            }
        }
    }

private:
    static constexpr std::uint64_t max_pause_ms = 2500;

    std::string const& daemon()
    {
        return daemons_[random_.below(daemons_.size())];
    }

    std::string const& worker()
    {
        return workers_[random_.below(workers_.size())];
    }

    std::string region() { return random_.below(3) == 0 ? "south" : "north"; }

    void send_request()
    {
        urgent_request request;
        request.id = "tally-" + std::to_string(random_.below(40));
        request.kind = "tally";
        request.home_region =
            std::stoul(request.id.substr(6)) % 3 == 0 ? "south" : "north";
        request.patience = 5000_ms;
        world_.submit(daemon(), request);
    }

    void send_job()
    {
        job_spec job;
        job.id = "plan-" + std::to_string(random_.below(10));
        job.kind = "menu_plan";
        job.team = "dietitians";
        job.home_region = job.id.back() % 3 == 0 ? "south" : "north";
        job.task_count = 6;
        job.run_time_ms = 3000;
        job.demand = {4000, 4000, 0};
        world_.send_job(daemon(), job);
    }

    void kill_daemon() { world_.kill_daemon(daemon()); }

    void start_daemon()
    {
        auto const& name = daemon();
        if (!world_.daemon(name).alive)
        {
            world_.start_daemon(name);
        }
    }

    void freeze() { world_.freeze_daemon(daemon()); }

    void resume()
    {
        auto const& name = daemon();
        if (world_.daemon(name).frozen)
        {
            world_.resume_daemon(name);
        }
    }

    void fault_store()
    {
        switch (random_.below(4))
        {
        case 0:
            return world_.set_store_fault(standin::store_fault::outage, 1);
        case 1:
            return world_.set_store_fault(standin::store_fault::slowness, 900);
        case 2:
            return world_.set_store_fault(standin::store_fault::lose_answers,
                                          2);
        default:
            world_.set_store_fault(standin::store_fault::slowness, 0);
            return world_.set_store_fault(standin::store_fault::outage, 0);
        }
    }

    void cut()
    {
        random_.below(2) == 0 ? world_.network().cut("north", "south")
                              : world_.network().cut(daemon(), "arima");
    }

    void heal() { world_.network().heal(); }

    void zone()
    {
        static std::string const zones[] = {"arima", "chaguanas",
                                            "san-fernando"};
        set_zone change;
        change.zone = zones[random_.below(3)];
        change.open = random_.below(2) == 0;
        change.token = "change-" + std::to_string(random_.next());
        world_.send_operator(daemon(), change);
    }

    void kill_worker()
    {
        auto const& name = worker();
        world_.worker(name).alive ? world_.kill_worker(name)
                                  : world_.start_worker(name);
    }

    void leave()
    {
        auto const& name = worker();
        if (random_.below(4) == 0)
        {
            world_.mark_worker(name, vm_state::leaving);
        }
    }

    void messages()
    {
        world_.network().set_chaos(
            static_cast<std::uint32_t>(random_.below(60)),
            static_cast<std::uint32_t>(random_.below(60)),
            time_ms(static_cast<std::int64_t>(random_.below(400))));
    }

    world& world_;
    random_source random_;
    std::vector<std::string> daemons_;
    std::vector<std::string> workers_;
};

} // namespace

// Guards each invariant that the oracle checks against faults that come at any
// moment, together or twice.
RC_GTEST_PROP(chaos, invariants_hold_under_random_faults, ())
{
    auto const seed = *rc::gen::arbitrary<std::uint32_t>();
    auto settings = deployment("kallaloo");
    settings.seed = seed;
    settings.service_time = 300_ms;
    world target(settings);
    target.advance(6000_ms);
    RC_ASSERT(target.apply_default_policy("arima-d0"));
    chaos faults(target, seed);
    constexpr int steps = 60;
    for (int i = 0; i < steps; ++i)
    {
        faults.step();
    }
    faults.end();
    target.advance(30000_ms);
    auto const violations = target.checks().violations();
    if (!violations.empty())
    {
        RC_LOG() << "seed " << seed << ": " << violations.front() << '\n';
    }
    RC_ASSERT(violations.empty());
}

} // namespace jaydrift::scenario
