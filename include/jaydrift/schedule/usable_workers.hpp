#ifndef JAYDRIFT_SCHEDULE_USABLE_WORKERS_HPP
#define JAYDRIFT_SCHEDULE_USABLE_WORKERS_HPP

#include <jaydrift/schedule/wait_reason.hpp>
#include <jaydrift/schedule/worker_group.hpp>

#include <deque>
#include <string_view>
#include <vector>

namespace jaydrift::schedule {

struct placement_request;
struct shard_context;
struct worker_state;

/// The usable workers of a shard by service and required label, each group
/// searched once. Valid while one event is handled, in which no worker comes,
/// goes or becomes usable. Refers to the strings of the requests.
class usable_workers
{
public:
    explicit usable_workers(shard_context& ctx) : ctx_(ctx) {}

    /// Returns the workers for a request.
    worker_group of(placement_request const& request);

private:
    struct group
    {
        std::string_view service;
        std::string_view required_label;
        std::vector<worker_state*> usable;
        wait_reason refusal = wait_reason::no_worker;
    };

    shard_context& ctx_;

    /// References to the groups stay valid when others are added.
    std::deque<group> groups_;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_USABLE_WORKERS_HPP
