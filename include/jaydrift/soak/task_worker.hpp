#ifndef JAYDRIFT_SOAK_TASK_WORKER_HPP
#define JAYDRIFT_SOAK_TASK_WORKER_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/http/request.hpp>
#include <jaydrift/http/response.hpp>
#include <jaydrift/soak/oracle.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jaydrift::soak {

/// A worker of the platform: runs tasks under a lease and checks fencing tokens
/// and its own capacity.
class task_worker
{
public:
    task_worker(std::string id, std::string address, std::string zone,
                std::uint64_t seed);

    /// Carries out an order.
    http::response handle(http::request const& order, oracle& checks,
                          time_ms now);

    /// Ends runs whose work is done or whose lease has passed.
    void advance(oracle& checks, time_ms now);

    /// Stops the process; everything that runs is gone.
    void crash(oracle& checks);
    void restart(time_ms now);

    bool up() const { return up_; }
    std::string const& id() const { return id_; }
    std::string const& zone() const { return zone_; }

    /// The worker's own report, as it lies in the store.
    std::string report() const;

    /// Ends that no daemon has taken note of.
    bool has_ends() const { return !ended_.empty(); }

    /// Share of the runs that fail, in percent.
    std::uint64_t failing_percent = 0;
    bool draining = false;

private:
    struct run
    {
        std::uint64_t number = 0;
        resources demand;
        time_ms done_at;
        bool long_running = false;
        bool fails = false;
    };

    struct end
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    time_ms clock(time_ms now) const { return now - born_; }
    http::response reply(unsigned status, std::string_view reason,
                         time_ms now) const;
    http::response start(http::request const& order, oracle& checks,
                         time_ms now);
    http::response lists(time_ms now) const;
    void finish(std::string const& task, std::string_view how, oracle& checks);
    void acknowledge(std::uint64_t number, oracle& checks);
    resources used() const;

    std::string id_;
    std::string address_;
    std::string zone_;
    random_source random_;
    resources capacity_{8000, 32000, 0};
    bool up_ = true;
    time_ms born_;
    std::uint64_t token_ = 0;
    time_ms lease_until_;
    std::map<std::string, run> runs_;
    std::map<std::string, std::uint64_t> refused_runs_;
    std::vector<end> ended_;
    std::uint64_t last_end_ = 0;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_TASK_WORKER_HPP
