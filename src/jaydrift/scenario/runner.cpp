#include <jaydrift/scenario/runner.hpp>

#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/scenario/simulation.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace jaydrift::scenario {

namespace {

/// Prefix of an argument that names the daemon which serves a shard.
constexpr std::string_view owner_prefix = "@owner:";

/// How long a caller waits if the command has no `patience` option.
constexpr std::int64_t default_time_limit_ms = 7800;

/// Executes a command on the process of this name.
using process_handler = void (*)(simulation&, command const&,
                                 std::string const&);

void start(simulation& simulated, command const&, std::string const& name)
{
    auto const workers = simulated.worker_names();
    bool const is_worker =
        std::find(workers.begin(), workers.end(), name) != workers.end();
    is_worker ? simulated.start_worker(name) : simulated.start_daemon(name);
}

void kill(simulation& simulated, command const&, std::string const& name)
{
    auto const workers = simulated.worker_names();
    bool const is_worker =
        std::find(workers.begin(), workers.end(), name) != workers.end();
    is_worker ? simulated.kill_worker(name) : simulated.kill_daemon(name);
}

void freeze(simulation& simulated, command const&, std::string const& name)
{
    simulated.freeze_daemon(name);
}

void resume(simulation& simulated, command const&, std::string const& name)
{
    simulated.resume_daemon(name);
}

void stop(simulation& simulated, command const&, std::string const& name)
{
    simulated.stop_daemon(name);
}

void leave(simulation& simulated, command const&, std::string const& name)
{
    simulated.mark_worker(name, vm_state::leaving);
}

void fail_starts(simulation& simulated, command const& cmd,
                 std::string const& name)
{
    simulated.set_worker_fault(name, standin::worker_fault::fail_starts,
                               cmd.option("value", "1") == "0" ? 0 : 1);
}

/// Returns the handlers of the commands whose first argument is a process, by
/// verb.
std::map<std::string, process_handler, std::less<>> const& process_handlers()
{
    static std::map<std::string, process_handler, std::less<>> const handlers =
        {{"start", start},     {"kill", kill}, {"freeze", freeze},
         {"resume", resume},   {"stop", stop}, {"leave", leave},
         {"fail", fail_starts}};
    return handlers;
}

std::string_view name_of(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::completed:
        return "completed";
    case request_outcome::not_run:
        return "not_run";
    default:
        return "unknown";
    }
}

std::string_view name_of(call_status status)
{
    switch (status)
    {
    case call_status::ok:
        return "ok";
    case call_status::refused:
        return "refused";
    case call_status::conflict:
        return "conflict";
    case call_status::pending:
        return "pending";
    default:
        return "not_found";
    }
}

std::string_view name_of(job_state state)
{
    switch (state)
    {
    case job_state::waiting:
        return "waiting";
    case job_state::running:
        return "running";
    case job_state::finished:
        return "finished";
    case job_state::cancelled:
        return "cancelled";
    default:
        return "parked";
    }
}

/// Sets or ends the store fault that the first argument names.
void set_store_fault(simulation& simulated, command const& cmd)
{
    auto const& fault = cmd.argument(0);
    if (fault == "out")
    {
        simulated.set_store_fault(standin::store_fault::outage, 1);
    }
    else if (fault == "ok")
    {
        simulated.set_store_fault(standin::store_fault::outage, 0);
        simulated.set_store_fault(standin::store_fault::slowness, 0);
    }
    else if (fault == "slow")
    {
        simulated.set_store_fault(standin::store_fault::slowness,
                                  cmd.number(1));
    }
    else if (fault == "lose")
    {
        simulated.set_store_fault(standin::store_fault::lose_answers,
                                  cmd.number(1));
    }
    else
    {
        cmd.fail("unknown store fault '" + fault
                 + "'; allowed: out, ok, slow, lose");
    }
}

urgent_request parse_request(simulation const& simulated, command const& cmd)
{
    urgent_request request;
    request.id = cmd.argument(0);
    request.kind = cmd.argument(1);
    request.payload = cmd.option("payload", "");
    request.time_limit =
        time_ms(cmd.number_option("patience", default_time_limit_ms));
    request.home_region = cmd.option("region", "");
    if (cmd.option("issued", "no") == "yes")
    {
        request.issued_at = simulated.now();
    }
    return request;
}

job_spec parse_job(command const& cmd)
{
    job_spec job;
    job.id = cmd.argument(0);
    job.kind = cmd.argument(1);
    job.team = cmd.option("team", "team-1");
    job.home_region = cmd.option("region", "");
    job.task_count = static_cast<std::uint32_t>(cmd.number_option("tasks", 1));
    job.run_time_ms = cmd.number_option("run", 1000);
    job.demand = {cmd.number_option("cores", 1) * 1000,
                  cmd.number_option("memory", 1000), 0};
    return job;
}

/// Returns the name of a daemon that is alive and serves the shard; empty if
/// there is none.
std::string owner_of(simulation const& simulated, std::string_view shard)
{
    for (auto const& name : simulated.daemon_names())
    {
        auto const& node = simulated.daemon(name);
        if (!node.alive)
        {
            continue;
        }
        for (auto const& id : decide::ownership::all_shards(*node.state))
        {
            if (to_string(id) == shard
                && decide::ownership::serving(
                    *node.state, id, simulated.now() + node.clock_offset))
            {
                return name;
            }
        }
    }
    return {};
}

} // namespace

runner::runner() = default;
runner::~runner() = default;

std::vector<std::string> runner::run(std::span<command const> commands)
{
    failures_.clear();
    checked_ = 0;
    simulation_.reset();
    for (auto const& cmd : commands)
    {
        execute(cmd);
    }
    if (simulation_)
    {
        auto const violations = simulation_->oracle().violations();
        failures_.insert(failures_.end(), violations.begin(), violations.end());
    }
    return failures_;
}

simulation& runner::require_simulation(command const& cmd)
{
    if (!simulation_)
    {
        cmd.fail("the first command must be 'deployment'");
    }
    return *simulation_;
}

std::string runner::process_name(command const& cmd, std::size_t index) const
{
    auto const& name = cmd.argument(index);
    if (name.starts_with(owner_prefix))
    {
        auto const shard = name.substr(owner_prefix.size());
        auto owner = owner_of(*simulation_, shard);
        if (owner.empty())
        {
            cmd.fail("no daemon serves shard " + shard);
        }
        return owner;
    }
    auto const daemons = simulation_->daemon_names();
    auto const workers = simulation_->worker_names();
    if (std::find(daemons.begin(), daemons.end(), name) == daemons.end()
        && std::find(workers.begin(), workers.end(), name) == workers.end())
    {
        cmd.fail("unknown process '" + name + "'");
    }
    return name;
}

void runner::execute(command const& cmd)
{
    if (cmd.verb == "deployment")
    {
        auto settings = settings_for_deployment(cmd.argument(0));
        settings.workers_per_zone = static_cast<std::uint32_t>(
            cmd.number_option("workers", settings.workers_per_zone));
        settings.daemons_per_zone = static_cast<std::uint32_t>(
            cmd.number_option("daemons", settings.daemons_per_zone));
        settings.shards_per_region = static_cast<std::uint32_t>(
            cmd.number_option("shards", settings.shards_per_region));
        settings.service_time = time_ms(
            cmd.number_option("service", settings.service_time.count()));
        settings.seed =
            static_cast<std::uint64_t>(cmd.number_option("seed", 1));
        simulation_ = std::make_unique<simulation>(settings);
        return;
    }
    auto& simulated = require_simulation(cmd);
    auto const handler = process_handlers().find(cmd.verb);
    if (handler != process_handlers().end())
    {
        handler->second(simulated, cmd, process_name(cmd, 0));
    }
    else if (cmd.verb == "advance")
    {
        simulated.advance(time_ms(cmd.number(0)));
    }
    else if (cmd.verb == "expect")
    {
        expect(cmd);
    }
    else
    {
        execute_platform(cmd);
    }
}

void runner::execute_platform(command const& cmd)
{
    auto& simulated = *simulation_;
    if (cmd.verb == "store")
    {
        set_store_fault(simulated, cmd);
    }
    else if (cmd.verb == "cut")
    {
        simulated.network().partition(cmd.argument(0), cmd.argument(1));
    }
    else if (cmd.verb == "heal")
    {
        simulated.network().heal();
    }
    else if (cmd.verb == "delay")
    {
        simulated.network().set_sender_delay(process_name(cmd, 0),
                                             time_ms(cmd.number(1)));
    }
    else if (cmd.verb == "chaos")
    {
        simulated.network().set_message_faults(
            static_cast<std::uint32_t>(cmd.number_option("loss", 0)),
            static_cast<std::uint32_t>(cmd.number_option("double", 0)),
            time_ms(cmd.number_option("delay", 0)));
    }
    else
    {
        execute_caller(cmd);
    }
}

void runner::execute_caller(command const& cmd)
{
    auto& simulated = *simulation_;
    if (cmd.verb == "request")
    {
        simulated.submit(process_name(cmd, 2), parse_request(simulated, cmd));
    }
    else if (cmd.verb == "retry")
    {
        simulated.submit_with_retries(parse_request(simulated, cmd),
                                      time_ms(cmd.number_option("every", 500)));
    }
    else if (cmd.verb == "job")
    {
        simulated.send_job(process_name(cmd, 2), parse_job(cmd));
    }
    else if (cmd.verb == "cancel")
    {
        simulated.send_job(
            process_name(cmd, 1),
            cancel_job{cmd.argument(0), cmd.option("region", "")});
    }
    else
    {
        execute_operator(cmd);
    }
}

void runner::execute_operator(command const& cmd)
{
    auto& simulated = *simulation_;
    // Each command needs its own token, or a daemon takes it for a repeat.
    auto const token = cmd.file + ":" + std::to_string(cmd.line);
    if (cmd.verb == "policy")
    {
        check(cmd, simulated.apply_default_policy(process_name(cmd, 0)),
              "the default policy is not in force");
    }
    else if (cmd.verb == "close" || cmd.verb == "open")
    {
        simulated.send_operator(
            process_name(cmd, 1),
            set_zone{cmd.argument(0), cmd.verb == "open", token});
    }
    else if (cmd.verb == "undo")
    {
        simulated.send_operator(
            process_name(cmd, 0),
            undo_policy{static_cast<std::uint64_t>(cmd.number(1)), token});
    }
    else
    {
        cmd.fail("unknown verb '" + cmd.verb + "'");
    }
}

void runner::check(command const& cmd, bool holds, std::string const& failure)
{
    ++checked_;
    if (!holds)
    {
        failures_.push_back(cmd.file + ":" + std::to_string(cmd.line) + ": "
                            + failure);
    }
}

void runner::expect(command const& cmd)
{
    auto& simulated = *simulation_;
    auto const limit = time_ms(cmd.number_option("within", 0));
    auto const& subject = cmd.argument(0);
    if (subject == "ready")
    {
        check(cmd,
              simulated.run_until(
                  [&] { return simulated.every_shard_served(); }, limit),
              "not every shard is served");
    }
    else if (subject == "operator")
    {
        auto const expected_replies = cmd.number_option("replies", 1);
        simulated.run_until(
            [&] {
                return simulated.operator_replies()
                       >= static_cast<std::uint64_t>(expected_replies);
            },
            limit);
        auto const* const reply = simulated.last_operator_reply();
        auto const actual =
            reply == nullptr ? "no reply" : name_of(reply->status);
        check(cmd, actual == cmd.argument(1),
              "the operator was told " + std::string(actual) + " "
                  + (reply == nullptr ? "" : reply->reason));
    }
    else if (subject == "request")
    {
        auto const& id = cmd.argument(1);
        auto const count =
            static_cast<std::size_t>(cmd.number_option("answers", 1));
        simulated.run_until(
            [&] { return simulated.answers_of(id).size() >= count; }, limit);
        auto const answers = simulated.answers_of(id);
        auto const actual = answers.empty()
                                ? "no answer"
                                : name_of(answers.back().result.outcome);
        check(cmd, actual == cmd.argument(2) && answers.size() >= count,
              id + ": " + std::string(actual) + ", "
                  + std::to_string(answers.size()) + " answers "
                  + (answers.empty() ? "" : answers.back().result.reason));
    }
    else if (subject == "starts")
    {
        auto const* const history = simulated.oracle().history(cmd.argument(1));
        auto const starts = history == nullptr ? 0 : history->starts;
        check(cmd, starts == cmd.number(2),
              cmd.argument(1) + " was started " + std::to_string(starts)
                  + " times");
    }
    else if (subject == "job")
    {
        expect_job(cmd);
    }
    else
    {
        cmd.fail("unknown expectation '" + subject
                 + "'; allowed: ready, operator, request, starts, job");
    }
}

void runner::expect_job(command const& cmd)
{
    auto& simulated = *simulation_;
    auto const& id = cmd.argument(1);
    auto const& expected_name = cmd.argument(2);
    auto const deadline =
        simulated.now() + time_ms(cmd.number_option("within", 0));
    constexpr time_ms poll_interval{200};
    std::string actual = "no reply";
    auto const matches = [&] {
        auto const* const reply = simulated.last_job_reply(id);
        if (reply == nullptr)
        {
            return false;
        }
        actual = std::string(name_of(reply->status)) + " "
                 + std::string(name_of(reply->job.state)) + " finished="
                 + std::to_string(reply->job.finished) + " " + reply->reason;
        return name_of(reply->job.state) == expected_name
               || name_of(reply->status) == expected_name;
    };
    bool holds = matches();
    while (!holds && simulated.now() < deadline)
    {
        auto const names = simulated.daemon_names();
        auto const responsive =
            std::find_if(names.begin(), names.end(), [&](auto const& name) {
                auto const& node = simulated.daemon(name);
                return node.alive && !node.frozen;
            });
        if (responsive != names.end() && cmd.option("ask", "yes") == "yes")
        {
            simulated.send_job(*responsive,
                               show_job{id, cmd.option("region", "")});
        }
        simulated.advance(poll_interval);
        holds = matches();
    }
    check(cmd, holds, id + ": " + actual);
}

} // namespace jaydrift::scenario
