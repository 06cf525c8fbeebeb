#include "batch_bench_test.hpp"

#include <jaydrift/core/random.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <set>

namespace jaydrift::decide {

namespace {

/// What a worker keeps of a task.
struct model_run
{
    task_report report;
    bool acknowledged = false;
};

struct model_worker
{
    std::map<std::string, model_run> runs;
    std::uint64_t epoch = 0;
    bool lease = true;
};

/// Owners of a shard that follow each other, with workers that lose messages
/// and leases, and a store that fails.
class faulty_shard
{
public:
    explicit faulty_shard(std::uint64_t seed) : random_(seed)
    {
        take_over(workers);
    }

    void step()
    {
        switch (random_.below(12))
        {
        case 0:
            return submit();
        case 1:
            owner_->store_up = random_.below(3) != 0;
            owner_->store_reachable = random_.below(2) != 0;
            owner_->store_answers_are_lost = random_.below(4) == 0;
            return;
        case 2:
            return make_room();
        case 3:
            return finish_one();
        case 4:
            return lapse(any_worker());
        case 5:
            return fence(any_worker());
        case 6:
            return random_.below(4) == 0
                       ? take_over(static_cast<int>(random_.below(workers + 1)))
                       : finish_one();
        case 7:
        case 8:
            return renew(any_worker());
        default:
            pass(static_cast<std::int64_t>(random_.below(8)) * 250);
        }
    }

    /// Ends the faults and lets all work finish.
    void recover()
    {
        faults_ = false;
        owner_->store_up = true;
        owner_->store_answers_are_lost = false;
        for (int round = 0; round < 200; ++round)
        {
            for (auto const& [name, worker] : model_)
            {
                fence(name);
                renew(name);
            }
            finish_one();
            finish_one();
            pass(1000);
        }
    }

    /// Tells whether no task runs on two workers.
    bool runs_once() const
    {
        std::set<std::string> running;
        for (auto const& [name, worker] : model_)
        {
            for (auto const& [id, run] : worker.runs)
            {
                if (run.report.state == task_state::running
                    && !running.insert(id).second)
                {
                    return false;
                }
            }
        }
        return true;
    }

    /// Tells whether exactly the accepted jobs have finished.
    bool all_finished()
    {
        auto const& jobs =
            owner_->state.batch.shards.at(bench::shard).table.jobs;
        for (auto const& [id, status] : answers_)
        {
            bool const known = jobs.contains(id);
            if ((status == call_status::ok && !known)
                || (status == call_status::refused && known))
            {
                return false;
            }
        }
        for (auto const& [id, job] : jobs)
        {
            if (status_of(job).state != job_state::finished)
            {
                return false;
            }
        }
        return true;
    }

private:
    using bench = batch_bench;
    static constexpr int workers = 3;

    std::string any_worker()
    {
        return 'w' + std::to_string(random_.below(workers));
    }

    void take_over(int answering)
    {
        auto const start =
            owner_ ? owner_->now + time_ms(2000) : time_ms(1'000'000);
        owner_ = std::make_unique<bench>(store_, workers, ++epoch_, start);
        owner_->answer_starts = false;
        owner_->answer_controls = false;
        started_ = 0;
        controlled_ = 0;
        calls_.clear();
        std::map<std::string, std::vector<task_report>> told;
        for (int number = 0; number < workers; ++number)
        {
            auto const name = 'w' + std::to_string(number);
            owner_->links().at(name).fenced = number < answering;
            if (number < answering)
            {
                told[name] = inventory(name);
            }
        }
        owner_->acquire(told);
        settle();
    }

    std::vector<task_report> inventory(std::string const& name)
    {
        auto& worker = model_[name];
        worker.epoch = epoch_;
        worker.lease = true;
        std::vector<task_report> tasks;
        for (auto const& [id, run] : worker.runs)
        {
            tasks.push_back(run.report);
        }
        return tasks;
    }

    void fence(std::string const& name)
    {
        auto& link = owner_->links().at(name);
        if (link.fenced)
        {
            return;
        }
        link.fenced = true;
        link.inventoried = true;
        auto const tasks = inventory(name);
        owner_->run([&](context& step) {
            batch::on_inventory(step, bench::shard, name, tasks);
        });
        settle();
    }

    void lapse(std::string const& name)
    {
        owner_->links().at(name).fenced = false;
        // A lapse is reported after the deadlines of all starts have passed.
        std::erase_if(late_,
                      [&](auto const& start) { return start.first == name; });
        auto& worker = model_[name];
        worker.lease = false;
        for (auto& [id, run] : worker.runs)
        {
            if (run.report.state == task_state::running)
            {
                run.report.state = task_state::lease_lapsed;
            }
        }
        owner_->run([&](context& step) {
            batch::on_lease_lapsed(step, bench::shard, name);
        });
        settle();
    }

    void submit()
    {
        auto const id = "job-" + std::to_string(++jobs_);
        calls_[owner_->request(bench::spec(id, 1 + jobs_ % 3, 2000))] = id;
        settle();
    }

    void make_room()
    {
        auto const worker = any_worker();
        owner_->run([&](context& step) {
            batch::make_room(step, worker, {2000, 0, 0});
        });
        settle();
    }

    void finish_one()
    {
        for (auto& [id, run] : model_[any_worker()].runs)
        {
            if (run.report.state == task_state::running)
            {
                run.report.state = task_state::finished;
                return;
            }
        }
    }

    void renew(std::string const& name)
    {
        auto& worker = model_[name];
        if (!owner_->links().at(name).fenced || worker.epoch != epoch_)
        {
            return;
        }
        for (auto const& id : batch::acknowledged(owner_->state, name))
        {
            auto const run = worker.runs.find(id);
            if (run != worker.runs.end()
                && run->second.report.state != task_state::running)
            {
                run->second.acknowledged = true;
            }
        }
        std::vector<task_report> ended;
        for (auto const& [id, run] : worker.runs)
        {
            if (run.report.state != task_state::running && !run.acknowledged)
            {
                ended.push_back(run.report);
            }
        }
        if (!faults_ || random_.below(4) != 0)
        {
            owner_->renew(name, ended);
        }
        settle();
    }

    void pass(std::int64_t duration)
    {
        for (std::int64_t passed = 0; passed < duration; passed += 250)
        {
            owner_->pass(250);
            settle();
            if (!late_.empty() && random_.below(3) == 0)
            {
                // Nobody hears the answer.
                on_start(model_[late_.back().first], late_.back().second);
                late_.pop_back();
            }
        }
    }

    /// Delivers calls to workers, with faults, and collects answers.
    void settle()
    {
        while (started_ < owner_->start_calls.size()
               || controlled_ < owner_->control_calls.size())
        {
            auto const call = started_ < owner_->start_calls.size()
                                  ? owner_->start_calls[started_++]
                                  : owner_->control_calls[controlled_++];
            deliver(call);
        }
        for (auto const& [call, reply] : owner_->replies)
        {
            answers_[calls_.at(call)] = reply.status;
        }
    }

    void deliver(send_worker const& call)
    {
        auto const fault = faults_ ? random_.below(6) : 5;
        if (fault == 0 || !owner_->links().at(call.worker).fenced)
        {
            return owner_->lose(call);
        }
        auto& worker = model_[call.worker];
        auto const* const start = std::get_if<start_request>(&call.request);
        if (start != nullptr && fault == 2)
        {
            late_.emplace_back(call.worker, *start);
            return owner_->lose(call);
        }
        auto const reply =
            start != nullptr
                ? on_start(worker, *start)
                : on_control(worker, std::get<control_request>(call.request));
        fault == 1 ? owner_->lose(call) : owner_->answer(call, reply);
    }

    worker_reply on_start(model_worker& worker, start_request const& request)
    {
        worker_reply reply;
        if (request.term.epoch != worker.epoch
            || request.start_before <= owner_->now)
        {
            reply.outcome = worker_outcome::past_deadline;
            return reply;
        }
        auto const known = worker.runs.find(request.task.id);
        if (known != worker.runs.end()
            && (known->second.report.state == task_state::running
                || known->second.report.state == task_state::finished
                || request.attempt <= known->second.report.attempt))
        {
            reply.outcome = worker_outcome::already_started;
            reply.tasks = {known->second.report};
            return reply;
        }
        if (!worker.lease || random_.below(8) == 0)
        {
            reply.outcome = worker_outcome::over_limit;
            return reply;
        }
        auto& run = worker.runs[request.task.id];
        run = {};
        run.report =
            bench::report(request.task.id, request.attempt, task_state::running,
                          request.task.checkpoint_ms);
        run.report.task = request.task;
        return reply;
    }

    static worker_reply on_control(model_worker& worker,
                                   control_request const& request)
    {
        worker_reply reply;
        auto const known = worker.runs.find(request.task);
        if (known == worker.runs.end()
            || known->second.report.attempt != request.attempt
            || known->second.report.state != task_state::running)
        {
            reply.outcome = worker_outcome::unknown_task;
            return reply;
        }
        auto& report = known->second.report;
        if (request.action == task_action::evict)
        {
            report.state = task_state::evicted;
            report.checkpoint_ms += 100;
        }
        if (request.action == task_action::cancel)
        {
            report.state = task_state::failed;
        }
        reply.tasks = {report};
        return reply;
    }

    random_source random_;
    ring_store store_;
    std::unique_ptr<bench> owner_;
    std::map<std::string, model_worker> model_;
    std::map<std::uint64_t, std::string> calls_;

    /// Starts on their way to a worker.
    std::vector<std::pair<std::string, start_request>> late_;
    std::map<std::string, call_status> answers_;
    std::uint64_t epoch_ = 0;
    std::uint32_t jobs_ = 0;
    std::size_t started_ = 0;
    std::size_t controlled_ = 0;
    bool faults_ = true;
};

// Guards against any order of lost messages, lapsed leases, evictions,
// takeovers and store failures that loses a task or runs it in two places.
RC_GTEST_PROP(batch_faults, tasks_run_once_and_finish, (std::uint64_t seed))
{
    faulty_shard shard(seed);
    for (int number = 0; number < 120; ++number)
    {
        shard.step();
        RC_ASSERT(shard.runs_once());
    }
    shard.recover();
    RC_ASSERT(shard.runs_once());
    RC_ASSERT(shard.all_finished());
}

} // namespace

} // namespace jaydrift::decide
