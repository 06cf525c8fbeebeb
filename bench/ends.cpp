#include <jaydrift/core/random.hpp>
#include <jaydrift/core/resources.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/daemon_state.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/reduce.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace {

using namespace jaydrift;
using namespace jaydrift::schedule;

constexpr time_ms one_way_time{1};

/// The platform's limit for the ends in one reply.
constexpr std::size_t max_listed_ends = 500;

/// Submissions have so many tasks, and no caller asks for their state.
constexpr std::uint32_t tasks_per_submission = 10;

/// Tasks run for the mean and a random time up to the spread, either way.
constexpr time_ms mean_run_time{1000};
constexpr std::uint64_t run_time_spread_ms = 400;

constexpr resources task_demand{1000, 1000, 0};

/// A worker of the platform, as far as the owner's orders are concerned.
struct bench_worker
{
    std::map<run_id, time_ms> done_at;
    std::deque<reported_end> ended;
    std::uint64_t last_end = 0;
    std::optional<worker_call> waiting_hold;
};

/// Load on the owner of one shard, and the store that it writes to.
struct load
{
    std::size_t workers = 0;
    std::size_t starts_per_second = 0;
    time_ms silence{0};

    /// From the return of the store.
    time_ms store_reply_time{0};

    /// Further writes in a second are refused.
    std::size_t writes_per_second = 0;
};

/// What is measured, from the return of the store.
struct outcome
{
    std::size_t starts_in_silence = 0;
    std::size_t longest_list = 0;
    std::size_t unacknowledged = 0;
    std::size_t changed_submissions = 0;

    /// Until the first write reaches the store.
    time_ms first_write_after{0};

    /// Until no list is longer than a reply holds, and until each end that was
    /// on a list at the return of the store is acknowledged.
    time_ms cut_off_until{0};
    time_ms emptied_after{0};

    /// Until the owner counts no run that had ended at the store's return.
    time_ms room_free_after{0};

    std::size_t transactions = 0;
    std::size_t entries = 0;
    std::size_t holds = 0;
};

/// Runs the owner of one shard on a virtual clock through a silence of the
/// store, with work that was accepted before.
class silent_store_bench
{
public:
    explicit silent_store_bench(load const& given) : load_(given), random_(1)
    {
        settings options;
        options.node = "bench";
        options.address = "10.0.0.1:7000";
        state_ = initial_state(options, now_);
        configuration config;
        config.version = 1;
        config.queues.push_back(
            {"q", "h", "/q/", "svc", 0, 3, 2.0, time_ms(60000)});
        state_.config = config;
        state_.shards.resize(1);
        state_.shards[0].ownership.role = owner_role::owner;
        state_.shards[0].ownership.revision = 5;
        for (std::size_t i = 0; i < load_.workers; ++i)
        {
            add_worker(i);
        }
        schedule_timer();
    }

    outcome run()
    {
        submit_work();
        auto const starts_before = starts_;
        store_silent_ = true;
        run_for(load_.silence);
        store_silent_ = false;
        store_reply_time_ = load_.store_reply_time;
        outcome result;
        result.starts_in_silence = starts_ - starts_before;
        std::map<std::string, std::uint64_t> last_ends;
        for (auto const& [id, worker] : workers_)
        {
            result.longest_list =
                std::max(result.longest_list, worker.ended.size());
            result.unacknowledged += worker.ended.size();
            last_ends[id] = worker.last_end;
        }
        result.changed_submissions = state_.shards[0].record_log.dirty.size();
        auto const stale = stale_runs();
        transactions_ = entries_ = holds_ = 0;
        auto const returned = returned_at_ = now_;
        constexpr time_ms limit{120000};
        constexpr time_ms step{10};
        auto cut_off = true;
        auto held = true;
        auto listed = true;
        while ((cut_off || held || listed) && now_ - returned < limit)
        {
            run_for(step);
            cut_off =
                update(cut_off, is_cut_off(), result.cut_off_until, returned);
            held = update(held, holds_any(stale), result.room_free_after,
                          returned);
            listed = update(listed, has_any(last_ends), result.emptied_after,
                            returned);
            if (!listed && result.transactions == 0)
            {
                result.transactions = transactions_;
                result.entries = entries_;
                result.holds = holds_;
                result.first_write_after = first_write_at_ - returned;
            }
        }
        return result;
    }

private:
    struct action
    {
        time_ms at;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(action const& other) const
        {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    /// Notes the time at which a condition has ceased to hold.
    bool update(bool before, bool holds, time_ms& after, time_ms since) const
    {
        if (before && !holds)
        {
            after = now_ - since;
        }
        return before && holds;
    }

    bool is_cut_off() const
    {
        return std::any_of(
            workers_.begin(), workers_.end(), [](auto const& each) {
                return each.second.ended.size() >= max_listed_ends;
            });
    }

    /// Returns whether a worker still has an end up to the given numbers.
    bool has_any(std::map<std::string, std::uint64_t> const& last_ends) const
    {
        return std::any_of(workers_.begin(), workers_.end(),
                           [&](auto const& each) {
                               return !each.second.ended.empty()
                                      && each.second.ended.front().number
                                             <= last_ends.at(each.first);
                           });
    }

    /// Returns the runs that the owner counts and that have ended.
    std::vector<std::pair<std::string, run_id>> stale_runs() const
    {
        std::vector<std::pair<std::string, run_id>> result;
        for (auto const& [id, worker] : state_.shards[0].workers)
        {
            for (auto const& [run, state] : worker.runs)
            {
                if (state.confirmed_at
                    && !workers_.at(id).done_at.contains(run))
                {
                    result.emplace_back(id, run);
                }
            }
        }
        return result;
    }

    bool
    holds_any(std::vector<std::pair<std::string, run_id>> const& runs) const
    {
        return std::any_of(runs.begin(), runs.end(), [this](auto const& each) {
            return state_.shards[0]
                .workers.at(each.first)
                .runs.contains(each.second);
        });
    }

    /// Submits work until as much waits as starts in the silence. All of it is
    /// stored then.
    void submit_work()
    {
        constexpr time_ms margin{2000};
        auto const target =
            load_.starts_per_second
            * static_cast<std::size_t>((load_.silence + margin).count()) / 1000;
        auto const& log = state_.shards[0].record_log;
        constexpr std::size_t most_changes = 32;
        while (waiting_tasks() < target)
        {
            auto missing = target - waiting_tasks();
            while (missing > 0 && log.dirty.size() < most_changes)
            {
                submit();
                missing -= std::min<std::size_t>(missing, tasks_per_submission);
            }
            run_for(time_ms(20));
        }
        while (!all_stored())
        {
            run_for(time_ms(20));
        }
    }

    bool all_stored() const
    {
        auto const& submissions = state_.shards[0].submissions;
        return std::all_of(
            submissions.begin(), submissions.end(),
            [](auto const& each) { return each.second.record_stored; });
    }

    std::size_t waiting_tasks() const
    {
        std::size_t result = 0;
        for (auto const& [id, submission] : state_.shards[0].submissions)
        {
            result += submission.waiting_tasks;
        }
        return result;
    }

    void submit()
    {
        auto id = std::to_string(++submitted_);
        id.insert(0, 16 - id.size(), '0');
        call_arrived request;
        request.call = submitted_;
        request.verb = call_verb::submit;
        request.host = "h";
        request.path = "/q/" + id;
        step_spec spec;
        spec.count = tasks_per_submission;
        spec.demand = task_demand;
        spec.estimate = mean_run_time;
        submission work;
        work.steps = {spec};
        request.work = std::move(work);
        step(request);
    }

    void add_worker(std::size_t number)
    {
        auto const id = "i-" + std::to_string(number);
        // Room for the tasks that run at the given rate, divided evenly.
        auto const running =
            load_.starts_per_second * mean_run_time.count() / 1000;
        auto const room = running / load_.workers
                          + (number < running % load_.workers ? 1 : 0);
        auto const millicores =
            task_demand.millicores * static_cast<std::int64_t>(room);
        auto& worker = state_.shards[0].workers[id];
        worker.entry = {id,    "svc",      "10.1.0.1:80",
                        "a",   {"k", "r"}, {millicores, 1000000, 0},
                        false, time_ms(1)};
        worker.in_fleet_record = true;
        worker.fenced = true;
        worker.process_confirmed = true;
        worker.clock = now_;
        worker.clock_received_at = now_;
        worker.lease_until = time_ms(1000000000);
        workers_[id];
    }

    void after(time_ms delay, std::function<void()> what)
    {
        queue_.push({now_ + delay, sequence_++, std::move(what)});
    }

    void run_for(time_ms duration)
    {
        auto const end = now_ + duration;
        while (!queue_.empty() && queue_.top().at <= end)
        {
            auto const next = queue_.top();
            queue_.pop();
            now_ = next.at;
            next.run();
        }
        now_ = end;
    }

    void schedule_timer()
    {
        auto const next = std::max(now_ + time_ms(1), next_timer(state_));
        after(next - now_, [this] {
            step(timer_due{now_});
            schedule_timer();
        });
    }

    void step(event const& input)
    {
        for (auto const& effect : reduce(state_, input, now_))
        {
            if (auto const* const order = std::get_if<worker_call>(&effect))
            {
                after(one_way_time, [this, order = *order] { execute(order); });
            }
            else if (auto const* const call = std::get_if<store_call>(&effect))
            {
                execute(*call);
            }
            else if (auto const* const silent =
                         std::get_if<end_silent_call>(&effect);
                     silent && swallowed_.contains(silent->call))
            {
                lose(silent->call);
            }
        }
    }

    /// Ends a call that the silent store got without a reply.
    void lose(std::uint64_t call)
    {
        if (swallowed_.erase(call) > 0)
        {
            reply_to(call, store_status::lost, time_ms(0));
        }
    }

    void reply_to(std::uint64_t call, store_status status, time_ms delay)
    {
        after(delay, [this, call, status] {
            store_replied reply;
            reply.call = call;
            reply.status = status;
            reply.revision = status == store_status::ok ? ++revision_ : 0;
            step(reply);
        });
    }

    /// Answers writes and questions for the revision, unless the store is
    /// silent. Other reads stay unanswered: without their records, a reply
    /// would remove all workers.
    void execute(store_call const& call)
    {
        auto const* const write = std::get_if<store_transaction>(&call.request);
        if (!write && !std::holds_alternative<read_revision>(call.request))
        {
            return;
        }
        if (store_silent_)
        {
            swallowed_.insert(call.call);
            after(call.time_limit,
                  [this, number = call.call] { lose(number); });
            return;
        }
        if (!write)
        {
            reply_to(call.call, store_status::ok, store_reply_time_);
            return;
        }
        if (first_write_at_ < returned_at_)
        {
            first_write_at_ = now_;
        }
        if (!admitted())
        {
            reply_to(call.call, store_status::refused, one_way_time);
            return;
        }
        ++transactions_;
        entries_ += write->puts.size() + write->removals.size();
        reply_to(call.call, store_status::ok, store_reply_time_);
    }

    /// Counts a write against the rate limit.
    bool admitted()
    {
        std::erase_if(writes_at_, [this](time_ms at) {
            return now_ - at >= time_ms(1000);
        });
        if (writes_at_.size() >= load_.writes_per_second)
        {
            return false;
        }
        writes_at_.push_back(now_);
        return true;
    }

    void execute(worker_call const& order)
    {
        auto& worker = workers_.at(order.worker);
        if (auto const* const start = std::get_if<start_order>(&order.order))
        {
            ++starts_;
            auto const run_time = mean_run_time - time_ms(run_time_spread_ms)
                                  + time_ms(static_cast<std::int64_t>(
                                      random_.below(2 * run_time_spread_ms)));
            worker.done_at[start->run] = now_ + run_time;
            after(run_time, [this, id = order.worker, run = start->run] {
                finish(id, run);
            });
        }
        else if (auto const* const hold = std::get_if<hold_order>(&order.order))
        {
            ++holds_;
            while (!worker.ended.empty()
                   && worker.ended.front().number <= hold->acknowledged_end)
            {
                worker.ended.pop_front();
            }
            if (worker.ended.empty())
            {
                worker.waiting_hold = order;
                after(hold->wait, [this, order] {
                    auto& waiting = workers_.at(order.worker).waiting_hold;
                    if (waiting && waiting->call == order.call)
                    {
                        waiting.reset();
                        answer(order);
                    }
                });
                return;
            }
        }
        answer(order);
    }

    void finish(std::string const& id, run_id const& run)
    {
        auto& worker = workers_.at(id);
        worker.done_at.erase(run);
        worker.ended.push_back({++worker.last_end, run, run_outcome::done, {}});
        if (worker.waiting_hold)
        {
            auto const hold = *worker.waiting_hold;
            worker.waiting_hold.reset();
            answer(hold);
        }
    }

    void answer(worker_call const& order)
    {
        auto const& worker = workers_.at(order.worker);
        worker_replied reply;
        reply.call = order.call;
        reply.status = worker_status::ok;
        reply.clock = now_;
        if (std::holds_alternative<hold_order>(order.order))
        {
            reply.process_started_at = time_ms(1);
            for (auto const& [run, done_at] : worker.done_at)
            {
                constexpr std::int64_t ms_per_percent = 20;
                reply.running.push_back(
                    {run,
                     {},
                     static_cast<std::uint32_t>(
                         99
                         - std::clamp<std::int64_t>(
                             (done_at - now_).count() / ms_per_percent, 0, 98)),
                     task_demand.millicores});
            }
            auto const listed = std::min(worker.ended.size(), max_listed_ends);
            reply.ended.assign(worker.ended.begin(),
                               worker.ended.begin()
                                   + static_cast<std::ptrdiff_t>(listed));
            reply.more_ends = listed == max_listed_ends;
        }
        after(one_way_time, [this, reply] { step(reply); });
    }

    load load_;
    random_source random_;
    daemon_state state_;
    time_ms now_{1000};
    std::uint64_t revision_ = 10;
    std::uint64_t sequence_ = 0;
    std::priority_queue<action> queue_;
    std::map<std::string, bench_worker> workers_;
    bool store_silent_ = false;
    time_ms store_reply_time_{10};
    std::set<std::uint64_t> swallowed_;
    time_ms returned_at_{0};
    time_ms first_write_at_{0};
    std::deque<time_ms> writes_at_;
    std::size_t submitted_ = 0;
    std::size_t starts_ = 0;
    std::size_t transactions_ = 0;
    std::size_t entries_ = 0;
    std::size_t holds_ = 0;
};

/// Prints the largest figure of several runs, in which the silence begins at
/// different moments of the retransmission timer.
class report
{
public:
    explicit report(load const& given)
        : suffix_("_" + std::to_string(given.silence.count()) + "_ms_silence_"
                  + std::to_string(given.workers) + "_workers_"
                  + std::to_string(given.starts_per_second) + "_starts_"
                  + std::to_string(given.store_reply_time.count())
                  + "_ms_reply: ")
    {
        constexpr auto runs = 5;
        constexpr time_ms phase{230};
        for (auto i = 0; i < runs; ++i)
        {
            auto shifted = given;
            shifted.silence += phase * i;
            outcomes_.push_back(silent_store_bench(shifted).run());
        }
    }

    void print(std::string const& name, std::size_t outcome::*figure,
               std::string const& unit) const
    {
        print_largest(
            name, [figure](outcome const& each) { return each.*figure; }, unit);
    }

    void print(std::string const& name, time_ms outcome::*figure) const
    {
        print_largest(
            name,
            [figure](outcome const& each) { return (each.*figure).count(); },
            "ms");
    }

private:
    template<class Figure>
    void print_largest(std::string const& name, Figure figure,
                       std::string const& unit) const
    {
        auto largest = figure(outcomes_.front());
        for (auto const& each : outcomes_)
        {
            largest = std::max(largest, figure(each));
        }
        std::cout << name << suffix_ << largest << " " << unit << "\n";
    }

    std::string suffix_;
    std::vector<outcome> outcomes_;
};

void print(load const& given)
{
    report const all(given);
    all.print("starts_in_silence", &outcome::starts_in_silence, "starts");
    all.print("ends_not_acknowledged", &outcome::unacknowledged, "ends");
    all.print("longest_list", &outcome::longest_list, "ends");
    all.print("changed_submissions", &outcome::changed_submissions,
              "submissions");
    all.print("first_write_after", &outcome::first_write_after);
    all.print("lists_cut_off_for", &outcome::cut_off_until);
    all.print("room_held_for", &outcome::room_free_after);
    all.print("lists_emptied_after", &outcome::emptied_after);
    all.print("transactions", &outcome::transactions, "transactions");
    all.print("entries", &outcome::entries, "entries");
    all.print("holds", &outcome::holds, "holds");
}

} // namespace

int main()
{
    // The design size with one owner, one of its six owners, and lists of more
    // ends than a reply holds. The owners share the store's rate.
    struct size
    {
        std::size_t workers;
        std::size_t starts_per_second;
        std::size_t writes_per_second;
    };
    constexpr size sizes[] = {
        {700, 570, 400}, {117, 95, 66}, {10, 570, 400}, {4, 570, 400}};
    for (auto const& each : sizes)
    {
        for (auto const silence : {time_ms(4500), time_ms(20000)})
        {
            for (auto const reply_time : {time_ms(10), time_ms(100)})
            {
                print({each.workers, each.starts_per_second, silence,
                       reply_time, each.writes_per_second});
            }
        }
    }
    return EXIT_SUCCESS;
}
