#include <jaydrift/scenario/simulation.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace jaydrift::scenario {

namespace {

/// One-way delay between a caller and a daemon.
constexpr time_ms caller_delay{1};

/// Returns the ID of the job that a request is about.
std::string job_id(job_request const& request)
{
    return std::visit([](auto const& value) { return value.id; }, request);
}

/// Converts the issue time of a request, if it has one, to a clock that is
/// ahead by `offset`.
void shift_issue_time(urgent_request& request, time_ms offset)
{
    if (request.issued_at)
    {
        *request.issued_at += offset;
    }
}

/// Returns a policy with all zones open and the kinds of both deployments.
policy_document default_policy(std::span<zone_location const> zones)
{
    policy_document policy;
    policy.comment = "first policy";
    for (auto const& zone : zones)
    {
        policy.zones.push_back({zone.zone, zone.region, true});
    }
    policy.kinds = {
        {"triage", task_class::urgent, true, {500, 500, 0}},
        {"tally", task_class::urgent, false, {500, 500, 0}},
        {"route_watch", task_class::service, false, {500, 500, 0}},
        {"recalculation", task_class::batch, false, {}},
        {"menu_plan", task_class::batch, false, {}},
        {"archive_sweep", task_class::background, false, {}},
    };
    policy.shares = {{task_class::urgent, 100},
                     {task_class::service, 100},
                     {task_class::batch, 80},
                     {task_class::background, 40}};
    return policy;
}

} // namespace

void simulation::submit(std::string const& daemon,
                        urgent_request const& request)
{
    oracle_.on_submitted(request.id, request.kind, request.payload);
    auto const sent_at = now_;
    schedule(now_ + caller_delay, [=, this] {
        call_daemon(
            daemon,
            [&](std::uint64_t call) {
                auto local_request = request;
                shift_issue_time(local_request,
                                 daemons_.at(daemon).clock_offset);
                return decide::request_arrived{call, local_request};
            },
            [=, this](decide::effect const& effect) {
                auto const* const reply =
                    std::get_if<decide::answer_caller>(&effect);
                if (reply == nullptr)
                {
                    return;
                }
                oracle_.on_answered(request.id, reply->result, now_);
                answers_.push_back(
                    {request.id, daemon, reply->result, sent_at, now_});
            });
    });
}

void simulation::submit_with_retries(urgent_request const& request,
                                     time_ms interval)
{
    retry(request, random_.below(daemons_.size()), interval,
          now_ + request.time_limit);
}

void simulation::retry(urgent_request const& request, std::size_t daemon_index,
                       time_ms interval, time_ms deadline)
{
    auto const received = answers_of(request.id);
    bool const complete =
        std::any_of(received.begin(), received.end(), [](auto const& answer) {
            return answer.result.outcome == request_outcome::completed;
        });
    if (complete || now_ >= deadline)
    {
        return;
    }
    auto const names = daemon_names();
    submit(names[daemon_index % names.size()], request);
    schedule(now_ + interval, [=, this] {
        retry(request, daemon_index + 1, interval, deadline);
    });
}

void simulation::send_job(std::string const& daemon, job_request const& request)
{
    schedule(now_ + caller_delay, [=, this] {
        call_daemon(
            daemon,
            [&](std::uint64_t call) {
                return decide::job_arrived{call, request};
            },
            [=, this](decide::effect const& effect) {
                auto const* const reply =
                    std::get_if<decide::answer_job>(&effect);
                if (reply == nullptr)
                {
                    return;
                }
                if (reply->reply.job.state == job_state::finished
                    && reply->reply.status == call_status::ok)
                {
                    oracle_.on_job_ended(job_id(request), now_);
                }
                if (std::holds_alternative<job_spec>(request)
                    && reply->reply.status == call_status::ok)
                {
                    acknowledged_jobs_.insert(job_id(request));
                }
                job_replies_[job_id(request)] = reply->reply;
            });
    });
}

void simulation::send_operator(std::string const& daemon,
                               operator_request const& request)
{
    schedule(now_ + caller_delay, [=, this] {
        call_daemon(
            daemon,
            [&](std::uint64_t call) {
                return decide::operator_called{call, request};
            },
            [=, this](decide::effect const& effect) {
                auto const* const reply =
                    std::get_if<decide::answer_operator>(&effect);
                if (reply == nullptr)
                {
                    return;
                }
                ++operator_replies_;
                last_operator_reply_ = reply->reply;
                auto const* const zone_change = std::get_if<set_zone>(&request);
                if (zone_change != nullptr && !zone_change->open
                    && reply->reply.status == call_status::ok)
                {
                    oracle_.on_zone_closed(zone_change->zone,
                                           reply->reply.version);
                }
            });
    });
}

bool simulation::apply_default_policy(std::string const& daemon)
{
    auto const replies_before = operator_replies_;
    constexpr time_ms reply_limit{20000};
    send_operator(daemon, apply_policy{default_policy(settings_.zones), 0,
                                       "default-policy"});
    return run_until([&] { return operator_replies_ > replies_before; },
                     reply_limit)
           && last_operator_reply_->status == call_status::ok;
}

} // namespace jaydrift::scenario
