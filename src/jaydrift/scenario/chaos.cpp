#include <jaydrift/scenario/chaos.hpp>

#include <jaydrift/scenario/simulation.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace jaydrift::scenario {

namespace {

using namespace literals;

/// Returns the progress and the state of a job for a failure message.
std::string describe(job_reply const& reply)
{
    return "finished " + std::to_string(reply.job.finished) + ", running "
           + std::to_string(reply.job.running) + ", state "
           + std::to_string(static_cast<int>(reply.job.state)) + " "
           + reply.reason + reply.job.reason;
}

/// Injects random faults into a simulated deployment and sends it work.
class fault_injector
{
public:
    fault_injector(simulation& simulated, std::uint64_t seed)
        : simulation_(simulated), random_(seed),
          daemons_(simulated.daemon_names()), workers_(simulated.worker_names())
    {
    }

    /// Sends requests, then injects a fault, ends one or sends a job, and lets
    /// some time pass.
    void step()
    {
        // An action that is listed twice is chosen twice as often.
        using action = void (fault_injector::*)();
        static constexpr action actions[] = {
            &fault_injector::send_job,
            &fault_injector::send_job,
            &fault_injector::kill_daemon,
            &fault_injector::start_daemon,
            &fault_injector::start_daemon,
            &fault_injector::freeze_daemon,
            &fault_injector::resume_daemon,
            &fault_injector::resume_daemon,
            &fault_injector::set_store_fault,
            &fault_injector::partition_network,
            &fault_injector::heal_network,
            &fault_injector::open_or_close_zone,
            &fault_injector::kill_or_start_worker,
            &fault_injector::mark_worker_leaving,
            &fault_injector::set_message_faults};
        for (int i = 0; i < requests_per_step; ++i)
        {
            send_request();
        }
        (this->*actions[random_.below(std::size(actions))])();
        simulation_.advance(
            time_ms(static_cast<std::int64_t>(random_.below(max_step_ms))));
    }

    /// Ends every fault, waits until every shard is served, and opens all
    /// zones. Leaving VMs are replaced.
    void end_faults()
    {
        simulation_.network().heal();
        simulation_.network().set_message_faults(0, 0, 0_ms);
        simulation_.set_store_fault(standin::store_fault::outage, 0);
        simulation_.set_store_fault(standin::store_fault::slowness, 0);
        for (auto const& name : daemons_)
        {
            if (simulation_.daemon(name).frozen)
            {
                simulation_.resume_daemon(name);
            }
            if (!simulation_.daemon(name).alive)
            {
                simulation_.start_daemon(name);
            }
        }
        for (auto const& name : workers_)
        {
            if (simulation_.worker(name).alive
                && leaving_workers_.contains(name))
            {
                simulation_.kill_worker(name);
            }
            if (!simulation_.worker(name).alive)
            {
                simulation_.start_worker(name);
            }
        }
        recovered_ = simulation_.run_until(
            [this] { return simulation_.every_shard_served(); },
            recovery_limit);
        // Waits for closes that were reported as pending: they may still become
        // durable, and would then follow the opens.
        simulation_.advance(recovery_limit);
        for (auto const& zone : zones)
        {
            set_zone(zone, true);
            simulation_.advance(policy_change_time);
        }
    }

    /// Tells whether every shard was served in time after the faults ended.
    bool recovered() const { return recovered_; }

    /// Waits until every acknowledged job has finished, at most for
    /// `job_limit`. Returns the ID and the state of the last job that has not
    /// finished; empty if there is none.
    std::string unfinished_job()
    {
        auto const deadline = simulation_.now() + job_limit;
        std::string unfinished;
        do
        {
            unfinished.clear();
            for (auto const& job : simulation_.acknowledged_jobs())
            {
                simulation_.send_job(daemons_.front(),
                                     show_job{job, home_region_of(job)});
            }
            simulation_.advance(job_poll_interval);
            for (auto const& job : simulation_.acknowledged_jobs())
            {
                auto const* const reply = simulation_.last_job_reply(job);
                if (reply->job.state != job_state::finished)
                {
                    unfinished = job + ": " + describe(*reply);
                }
            }
        } while (!unfinished.empty() && simulation_.now() < deadline);
        return unfinished;
    }

private:
    /// Time after the end of the faults in which every shard is served again.
    static constexpr time_ms recovery_limit{30000};

    /// Time after the recovery in which every job finishes.
    static constexpr time_ms job_limit{120000};
    static constexpr time_ms job_poll_interval{1000};

    /// Time for a policy change before the next one is sent.
    static constexpr time_ms policy_change_time{6000};

    /// Each step lasts for less than this.
    static constexpr std::uint64_t max_step_ms = 2500;
    static constexpr int requests_per_step = 3;

    static constexpr std::int64_t store_slowness_ms = 900;
    static constexpr std::int64_t lost_store_answers = 2;

    /// Limits below which the message faults are chosen: the rates of loss and
    /// of duplication in thousandths, and the extra delay.
    static constexpr std::uint64_t max_fault_permille = 60;
    static constexpr std::uint64_t max_extra_delay_ms = 400;

    std::string const& random_daemon()
    {
        return daemons_[random_.below(daemons_.size())];
    }

    std::string const& random_worker()
    {
        return workers_[random_.below(workers_.size())];
    }

    /// Returns the home region of a job, by the last digit of its ID.
    static std::string home_region_of(std::string const& job_id)
    {
        return job_id.back() % 3 == 0 ? "south" : "north";
    }

    /// Sends a new request, or repeats one of the latest, at a random daemon.
    void send_request()
    {
        constexpr std::size_t max_recent = 8;
        if (!sent_requests_.empty() && random_.below(2) == 0)
        {
            auto const recent = std::min(sent_requests_.size(), max_recent);
            simulation_.submit(random_daemon(),
                               sent_requests_[sent_requests_.size() - 1
                                              - random_.below(recent)]);
            return;
        }
        urgent_request request;
        request.id = "tally-" + std::to_string(sent_requests_.size());
        request.kind = "tally";
        request.home_region =
            std::stoul(request.id.substr(6)) % 3 == 0 ? "south" : "north";
        request.time_limit = 5000_ms;
        if (random_.below(4) != 0)
        {
            request.issued_at = simulation_.now();
        }
        sent_requests_.push_back(request);
        simulation_.submit(random_daemon(), request);
    }

    /// Submits one of ten jobs, so that submissions are repeated.
    void send_job()
    {
        job_spec job;
        job.id = "plan-" + std::to_string(random_.below(10));
        job.kind = "menu_plan";
        job.team = "dietitians";
        job.home_region = home_region_of(job.id);
        job.task_count = 6;
        job.run_time_ms = 3000;
        job.demand = {4000, 4000, 0};
        simulation_.send_job(random_daemon(), job);
    }

    void kill_daemon() { simulation_.kill_daemon(random_daemon()); }

    void start_daemon()
    {
        auto const& name = random_daemon();
        if (!simulation_.daemon(name).alive)
        {
            simulation_.start_daemon(name);
        }
    }

    void freeze_daemon() { simulation_.freeze_daemon(random_daemon()); }

    void resume_daemon()
    {
        auto const& name = random_daemon();
        if (simulation_.daemon(name).frozen)
        {
            simulation_.resume_daemon(name);
        }
    }

    /// Starts a store fault, or ends outage and slowness.
    void set_store_fault()
    {
        switch (random_.below(4))
        {
        case 0:
            return simulation_.set_store_fault(standin::store_fault::outage, 1);
        case 1:
            return simulation_.set_store_fault(standin::store_fault::slowness,
                                               store_slowness_ms);
        case 2:
            return simulation_.set_store_fault(
                standin::store_fault::lose_answers, lost_store_answers);
        default:
            simulation_.set_store_fault(standin::store_fault::slowness, 0);
            return simulation_.set_store_fault(standin::store_fault::outage, 0);
        }
    }

    /// Partitions the regions, or a daemon and a zone.
    void partition_network()
    {
        random_.below(2) == 0
            ? simulation_.network().partition("north", "south")
            : simulation_.network().partition(random_daemon(), "arima");
    }

    void heal_network() { simulation_.network().heal(); }

    void open_or_close_zone()
    {
        set_zone(zones[random_.below(zones.size())], random_.below(2) == 0);
    }

    void set_zone(std::string const& zone, bool open)
    {
        jaydrift::set_zone request;
        request.zone = zone;
        request.open = open;
        request.token = "change-" + std::to_string(random_.next());
        simulation_.send_operator(random_daemon(), request);
    }

    void kill_or_start_worker()
    {
        auto const& name = random_worker();
        simulation_.worker(name).alive ? simulation_.kill_worker(name)
                                       : simulation_.start_worker(name);
    }

    /// Marks a random VM as leaving, with a probability of one in four.
    void mark_worker_leaving()
    {
        auto const& name = random_worker();
        if (random_.below(4) == 0)
        {
            simulation_.mark_worker(name, vm_state::leaving);
            leaving_workers_.insert(name);
        }
    }

    void set_message_faults()
    {
        simulation_.network().set_message_faults(
            static_cast<std::uint32_t>(random_.below(max_fault_permille)),
            static_cast<std::uint32_t>(random_.below(max_fault_permille)),
            time_ms(
                static_cast<std::int64_t>(random_.below(max_extra_delay_ms))));
    }

    static inline std::vector<std::string> const zones{"arima", "chaguanas",
                                                       "san-fernando"};

    std::vector<urgent_request> sent_requests_;
    std::set<std::string> leaving_workers_;
    bool recovered_ = false;
    simulation& simulation_;
    random_source random_;
    std::vector<std::string> daemons_;
    std::vector<std::string> workers_;
};

} // namespace

chaos_result run_chaos(std::uint64_t seed, int steps)
{
    // Time in which the daemons share out the shards.
    constexpr time_ms startup_time{6000};
    auto settings = settings_for_deployment("kallaloo");
    settings.seed = seed;
    settings.service_time = 300_ms;
    simulation simulated(settings);
    simulated.advance(startup_time);
    chaos_result result;
    if (!simulated.apply_default_policy("arima-d0"))
    {
        result.failures.push_back("the default policy is not in force");
    }
    fault_injector faults(simulated, seed);
    for (int i = 0; i < steps; ++i)
    {
        faults.step();
    }
    faults.end_faults();
    if (!faults.recovered() || !simulated.every_shard_served())
    {
        result.failures.push_back("not every shard is served at the end");
    }
    if (auto const job = faults.unfinished_job(); !job.empty())
    {
        result.failures.push_back("acknowledged job " + job);
    }
    auto const violations = simulated.oracle().violations();
    result.failures.insert(result.failures.end(), violations.begin(),
                           violations.end());
    result.starts = simulated.oracle().starts();
    auto const trace = simulated.trace();
    result.trace.assign(trace.begin(), trace.end());
    return result;
}

} // namespace jaydrift::scenario
