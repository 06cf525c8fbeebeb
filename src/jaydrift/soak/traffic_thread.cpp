#include <jaydrift/soak/traffic_thread.hpp>

#include "daemon_processes.hpp"
#include "proxy.hpp"
#include "shared_rate.hpp"

#include <jaydrift/http/client.hpp>
#include <jaydrift/http/server.hpp>

#include <csignal>
#include <iostream>
#include <map>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>
#include <variant>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

namespace jaydrift::soak {

namespace {

using boost::asio::ip::tcp;

constexpr char const* any_port = "127.0.0.1:0";
constexpr std::size_t caller_connections = 16;
constexpr std::size_t ports_of_daemon = 3;

/// The daemons' ports lie below those that the kernel gives to outgoing
/// connections, which could take them.
constexpr unsigned first_port = 10000;
constexpr unsigned last_port = 32000;

/// Ranges have the same size whatever the number of daemons, so that those of
/// different runs do not overlap.
constexpr unsigned range_size = max_daemons * ports_of_daemon + 1;

/// A range of loopback ports for the daemons. The port below the range is kept
/// open as long as the object lives, so that concurrent runs take different
/// ranges.
class port_range
{
public:
    explicit port_range(boost::asio::io_context& context) : guard_(context)
    {
        guard_.open(tcp::v4());
        for (auto port = first_port; port + range_size < last_port;
             port += range_size)
        {
            boost::system::error_code fault;
            first_ = static_cast<unsigned short>(port + 1);
            guard_.bind({boost::asio::ip::address_v4::loopback(),
                         static_cast<unsigned short>(port)},
                        fault);
            if (!fault)
            {
                guard_.listen();
                return;
            }
        }
        throw std::runtime_error("no free range of ports for the daemons");
    }

    unsigned short operator[](std::size_t index) const
    {
        return static_cast<unsigned short>(first_ + index);
    }

private:
    tcp::acceptor guard_;
    unsigned short first_ = 0;
};

std::string loopback(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

class traffic_thread::impl
{
public:
    impl(options const& settings, process::event_queue<event>& events)
        : events_(events), client_(context_), child_signals_(context_, SIGCHLD),
          ports_(context_)
    {
        store_.emplace(context_, any_port, handler_for(std::nullopt));
        for (std::size_t i = 0; i < settings.workers; ++i)
        {
            workers_.push_back(std::make_unique<http::server>(
                context_, any_port, handler_for(i)));
            add_proxy({true, i}, workers_.back()->port());
        }
        std::vector<daemon_ports> ports_by_daemon;
        for (std::size_t i = 0; i < settings.daemons; ++i)
        {
            add_proxy({false, i}, store_->port());
            auto const first = i * ports_of_daemon;
            ports_by_daemon.push_back({ports_[first], ports_[first + 1],
                                       ports_[first + 2],
                                       proxies_.at({false, i})->port()});
        }
        processes_.emplace(settings, std::move(ports_by_daemon));
        wait_for_child_exit();
        thread_ = std::thread([this] {
            auto const guard = boost::asio::make_work_guard(context_);
            context_.run();
        });
    }

    ~impl()
    {
        context_.stop();
        thread_.join();
    }

    void post(effect output)
    {
        boost::asio::post(context_, [this, output = std::move(output)] {
            std::visit([this](auto const& each) { run(each); }, output);
        });
    }

    std::size_t worker_count() const { return workers_.size(); }

    unsigned short worker_port(std::size_t worker) const
    {
        return proxies_.at({true, worker})->port();
    }

private:
    void add_proxy(link_id id, unsigned short target)
    {
        proxies_.emplace(
            id, std::make_unique<proxy>(context_, target, region_link_));
    }

    http::server::handler handler_for(std::optional<std::size_t> worker)
    {
        return [this, worker](http::request message,
                              http::server::responder respond) {
            auto const number = next_request_++;
            responders_.emplace(number, std::move(respond));
            events_.deliver(
                request_arrived{number, worker, std::move(message)});
        };
    }

    void wait_for_child_exit()
    {
        child_signals_.async_wait(
            [this](boost::system::error_code const& fault, int) {
                if (fault)
                {
                    return;
                }
                processes_->reap(
                    [this](std::size_t daemon, int status, int signal) {
                        events_.deliver(process_exited{daemon, status, signal});
                    });
                wait_for_child_exit();
            });
    }

    void run(respond const& output)
    {
        auto const found = responders_.find(output.number);
        if (found != responders_.end())
        {
            found->second(output.message);
            responders_.erase(found);
        }
    }

    void run(send_call const& output)
    {
        client_.call(loopback(processes_->ports(output.daemon).callers),
                     "caller", caller_connections, output.message,
                     output.time_limit,
                     [this, number = output.number](http::call_result result) {
                         events_.deliver(call_ended{number, std::move(result)});
                     });
    }

    void run(signal_process const& output)
    {
        processes_->signal(output.daemon, output.signal);
    }

    void run(start_process const& output) { processes_->start(output.daemon); }

    void run(set_link const& output)
    {
        proxies_.at(output.link)->set(output.mode, output.bytes_per_second);
    }

    void run(print_line const& output) { std::cout << output.text << '\n'; }

    void run(finish const&) { events_.finish(); }

    process::event_queue<event>& events_;
    boost::asio::io_context context_;
    http::client client_;
    boost::asio::signal_set child_signals_;
    port_range ports_;
    std::optional<http::server> store_;
    std::vector<std::unique_ptr<http::server>> workers_;
    /// The link between the regions.
    shared_rate region_link_;
    std::map<link_id, std::unique_ptr<proxy>> proxies_;
    std::optional<daemon_processes> processes_;
    std::uint64_t next_request_ = 1;
    std::map<std::uint64_t, http::server::responder> responders_;
    std::thread thread_;
};

traffic_thread::traffic_thread(options const& settings,
                               process::event_queue<event>& events)
    : impl_(std::make_unique<impl>(settings, events))
{
}

traffic_thread::~traffic_thread() = default;

std::vector<std::string> traffic_thread::worker_addresses() const
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < impl_->worker_count(); ++i)
    {
        result.push_back(loopback(impl_->worker_port(i)));
    }
    return result;
}

void traffic_thread::execute(effect output) { impl_->post(std::move(output)); }

} // namespace jaydrift::soak
