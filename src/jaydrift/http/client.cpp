#include <jaydrift/http/client.hpp>

#include "connection.hpp"
#include "endpoint.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jaydrift::http {

namespace {

using steady = std::chrono::steady_clock;

/// Interval of the checks for expired calls, while any call is open.
constexpr std::chrono::milliseconds expiry_check_interval{25};

/// A pool without calls for this long closes its idle connections. This is
/// checked only while a call of the client is open.
constexpr std::chrono::seconds idle_pool_limit{60};

} // namespace

class client::state : public std::enable_shared_from_this<client::state>
{
public:
    explicit state(boost::asio::io_context& context)
        : context_(context), expiry_timer_(context)
    {
    }

    std::uint64_t call(std::string_view address, std::string_view pool_name,
                       std::size_t max_connections, pending_call call)
    {
        auto const number = ++last_number_;
        call.number = number;
        auto const server =
            remote_endpoint<boost::asio::ip::tcp::endpoint>(address);
        if (!server)
        {
            boost::asio::post(context_, [done = std::move(call.done)] {
                done({call_result::outcome_kind::not_sent, {}});
            });
            return number;
        }
        auto& pool = pools_[{std::string(address), std::string(pool_name)}];
        pool.max_connections = max_connections;
        pool.server = *server;
        pool.used_at = steady::now();
        pool.waiting.push_back(std::move(call));
        ++open_calls_;
        start_waiting_calls(pool);
        if (!checking_expiry_)
        {
            checking_expiry_ = true;
            schedule_expiry_check();
        }
        return number;
    }

    void end_if_silent(std::uint64_t number, time_ms silence)
    {
        for (auto& [key, pool] : pools_)
        {
            // A copy, since the end of a call may begin another one in the
            // pool.
            auto const connections = pool.connections;
            for (auto const& each : connections)
            {
                each->end_if_silent(number,
                                    std::chrono::milliseconds(silence.count()));
            }
        }
    }

    void stop()
    {
        stopped_ = true;
        expiry_timer_.cancel();
    }

private:
    /// Connections to one address, and the calls that wait for one of them.
    struct connection_pool
    {
        boost::asio::ip::tcp::endpoint server;
        std::size_t max_connections = 1;
        std::vector<std::shared_ptr<connection>> connections;
        std::deque<pending_call> waiting;
        steady::time_point used_at;
    };

    /// Starts waiting calls while a connection is idle or can be opened.
    void start_waiting_calls(connection_pool& pool)
    {
        std::erase_if(pool.connections,
                      [](auto const& each) { return each->closed(); });
        while (!pool.waiting.empty())
        {
            auto const free =
                std::find_if(pool.connections.begin(), pool.connections.end(),
                             [](auto const& each) { return each->idle(); });
            std::shared_ptr<connection> chosen;
            if (free != pool.connections.end())
            {
                chosen = *free;
            }
            else if (pool.connections.size() < pool.max_connections)
            {
                chosen = open(pool);
            }
            if (!chosen)
            {
                return;
            }
            auto next = std::move(pool.waiting.front());
            pool.waiting.pop_front();
            start(*chosen, std::move(next));
        }
    }

    void start(connection& chosen, pending_call next)
    {
        next.done = [this, done = std::move(next.done)](call_result result) {
            --open_calls_;
            done(std::move(result));
        };
        chosen.start(std::move(next));
    }

    std::shared_ptr<connection> open(connection_pool& pool)
    {
        auto result = std::make_shared<connection>(
            context_, pool.server,
            [weak = weak_from_this(), &pool](connection&) {
                auto const self = weak.lock();
                if (self && !self->stopped_)
                {
                    self->start_waiting_calls_later(pool);
                }
            });
        pool.connections.push_back(result);
        return result;
    }

    /// Starts waiting calls after the handler that is running. A connection
    /// calls this from its own member function, and `start_waiting_calls`
    /// destroys connections that have closed.
    void start_waiting_calls_later(connection_pool& pool)
    {
        if (!pool.waiting.empty())
        {
            boost::asio::post(context_, [weak = weak_from_this(), &pool] {
                auto const self = weak.lock();
                if (self && !self->stopped_)
                {
                    self->start_waiting_calls(pool);
                }
            });
        }
    }

    void schedule_expiry_check()
    {
        expiry_timer_.expires_after(expiry_check_interval);
        expiry_timer_.async_wait(
            [weak = weak_from_this()](boost::system::error_code const& error) {
                auto const self = weak.lock();
                if (self && !error && !self->stopped_)
                {
                    self->check_expiry();
                }
            });
    }

    /// Ends calls whose time limit has passed.
    void check_expiry()
    {
        auto const now = steady::now();
        std::vector<client::handler> expired;
        for (auto& [key, pool] : pools_)
        {
            for (auto const& each : pool.connections)
            {
                each->expire(now);
            }
            while (!pool.waiting.empty()
                   && pool.waiting.front().deadline <= now)
            {
                expired.push_back(std::move(pool.waiting.front().done));
                pool.waiting.pop_front();
                --open_calls_;
            }
            start_waiting_calls(pool);
        }
        for (auto const& done : expired)
        {
            done({call_result::outcome_kind::not_sent, {}});
        }
        close_idle_pools(now);
        if (open_calls_ > 0)
        {
            schedule_expiry_check();
        }
        else
        {
            checking_expiry_ = false;
        }
    }

    /// The pool itself stays, since handlers of its connections refer to it.
    void close_idle_pools(steady::time_point now)
    {
        for (auto& [key, pool] : pools_)
        {
            if (now - pool.used_at > idle_pool_limit)
            {
                std::erase_if(pool.connections,
                              [](auto const& each) { return each->idle(); });
            }
        }
    }

    boost::asio::io_context& context_;
    boost::asio::steady_timer expiry_timer_;
    /// By address and name.
    std::map<std::pair<std::string, std::string>, connection_pool> pools_;
    std::size_t open_calls_ = 0;
    std::uint64_t last_number_ = 0;
    bool checking_expiry_ = false;
    bool stopped_ = false;
};

client::client(boost::asio::io_context& context)
    : state_(std::make_shared<state>(context))
{
}

client::~client() { state_->stop(); }

std::uint64_t client::call(std::string_view address, std::string_view pool,
                           std::size_t max_connections, request message,
                           time_ms time_limit, handler done)
{
    if (message.host.empty())
    {
        message.host = address;
    }
    return state_->call(
        address, pool, max_connections,
        {0, std::move(message),
         steady::now() + std::chrono::milliseconds(time_limit.count()),
         std::move(done)});
}

void client::end_if_silent(std::uint64_t call, time_ms silence)
{
    state_->end_if_silent(call, silence);
}

} // namespace jaydrift::http
