#ifndef JAYDRIFT_SCHEDULE_REFUSED_REQUESTS_HPP
#define JAYDRIFT_SCHEDULE_REFUSED_REQUESTS_HPP

#include <jaydrift/core/resources.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace jaydrift::schedule {

struct placement_request;

/// The requests for which a pass found no worker. They spare the choice of a
/// worker for requests that need at least as much, since the room of workers
/// only shrinks within a pass. Long-running tasks are left out: what workers
/// reserve depends on how long such a task has waited. Refers to the steps of
/// the requests; owns none.
class refused_requests
{
public:
    void add(placement_request const& request);

    /// Returns whether a refused request shows that this one finds no worker
    /// either: it competes for the same workers and needs as much or more.
    bool cover(placement_request const& request) const;

private:
    struct refused
    {
        std::string_view service;
        std::string_view required_label;
        resources demand;
        std::uint32_t pace_limit = 0;
        bool opportunistic = false;

        /// Urgent tasks do not depend on these.
        std::string_view image;
        double tolerance = 0.0;
    };

    std::vector<refused> refused_;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_REFUSED_REQUESTS_HPP
