#include <jaydrift/app/daemon.hpp>

#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <jaydrift/app/call_admission.hpp>
#include <jaydrift/app/daemon_interpreter.hpp>
#include <jaydrift/app/daemon_options.hpp>
#include <jaydrift/app/daemon_traits.hpp>
#include <jaydrift/app/net_transport.hpp>
#include <jaydrift/core/steady_clock.hpp>
#include <jaydrift/net/http_front_end.hpp>
#include <jaydrift/net/operator_service.hpp>
#include <jaydrift/net/rpc_server.hpp>
#include <jaydrift/process/control_loop.hpp>
#include <jaydrift/process/event_queue.hpp>
#include <jaydrift/process/log.hpp>

namespace jaydrift::app {

namespace {

/// Returns `address` (`ip:port`) with its port replaced, for addresses whose
/// port 0 lets the kernel choose one.
std::string with_port(std::string_view address, std::uint16_t port)
{
    return std::string(address.substr(0, address.rfind(':') + 1))
           + std::to_string(port);
}

/// Waits until the thread has run the work that was posted before and has
/// written the answers that it caused. Large answers may still be in progress.
void flush(net::rpc_thread& thread)
{
    // The first round runs the answers that were posted before it. The writes
    // that these cause are done before the second round.
    for (int round = 0; round < 2; ++round)
    {
        auto done = std::make_shared<std::promise<void>>();
        auto const passed = done->get_future();
        thread.post([done = std::move(done)] { done->set_value(); });
        passed.wait();
    }
}

} // namespace

class daemon::impl
{
public:
    explicit impl(daemon_options options)
        : options_(std::move(options)), events_(options_.queue_capacity),
          calls_(options_.max_open_calls),
          timeline_(options_.reducer_settings.self.daemon,
                    options_.timeline_events),
          transport_(client_thread_, options_.store_address),
          interpreter_(transport_, events_, calls_, timeline_, metrics_),
          admission_(events_, calls_, timeline_, metrics_),
          peer_port_(serve_peers()), operator_port_(serve_operators()),
          front_end_(http_settings(), handlers())
    {
    }

    impl(impl const&) = delete;
    impl& operator=(impl const&) = delete;

    ~impl() { close(); }

    std::uint16_t http_port() const { return front_end_.port(); }
    std::uint16_t peer_port() const { return peer_port_; }
    std::uint16_t operator_port() const { return operator_port_; }

    void run()
    {
        report_start();
        process::control_loop<daemon_traits, steady_clock, interpreter> loop(
            decide::daemon_state(reducer_settings()), clock_, interpreter_,
            events_);
        loop.run();
        close();
        process::log_line(log_level::info, "stop",
                          "The daemon process is exiting.");
    }

    void request_stop() { events_.deliver(decide::stop_requested{}); }

private:
    using interpreter = daemon_interpreter<net_transport>;

    std::uint16_t serve_peers()
    {
        return net::serve<net::peer_service>(
            server_thread_, options_.listen_peer,
            [this](peer_request request, net::responder<peer_reply> respond) {
                admission_.on_peer(std::move(request), std::move(respond));
            });
    }

    std::uint16_t serve_operators()
    {
        return net::serve<net::operator_service>(
            server_thread_, options_.listen_operator,
            [this](operator_request request,
                   net::responder<operator_reply> respond) {
                admission_.on_operator(std::move(request), std::move(respond));
            });
    }

    net::http_settings http_settings() const
    {
        net::http_settings result;
        result.address = options_.listen_http;
        result.threads = options_.http_threads;
        return result;
    }

    net::front_end_handlers handlers()
    {
        net::front_end_handlers result;
        result.on_request = [this](urgent_request request,
                                   net::responder<request_result> respond) {
            admission_.on_request(std::move(request), std::move(respond));
        };
        result.on_job = [this](job_request request,
                               net::responder<job_reply> respond) {
            admission_.on_job(std::move(request), std::move(respond));
        };
        result.ready = [this] { return !interpreter_.stopping(); };
        result.metrics = [this] { return metrics_.text(); };
        return result;
    }

    /// Returns the settings of the reducer with the address at which peers
    /// reach this daemon, and without the daemon itself among its peers.
    decide::daemon_settings reducer_settings() const
    {
        auto result = options_.reducer_settings;
        result.self.address = options_.advertise_peer.empty()
                                  ? with_port(options_.listen_peer, peer_port_)
                                  : options_.advertise_peer;
        std::erase_if(result.peers, [&](member_info const& peer) {
            return peer.daemon == result.self.daemon;
        });
        return result;
    }

    /// Logs the listening addresses and records the start in the timeline.
    void report_start()
    {
        auto const log_address = [](std::string_view clients,
                                    std::string_view address,
                                    std::uint16_t port) {
            process::log_line(log_level::info, "daemon",
                              "Listening for " + std::string(clients) + " on "
                                  + with_port(address, port) + '.');
        };
        log_address("callers", options_.listen_http, http_port());
        log_address("peers", options_.listen_peer, peer_port_);
        log_address("operators", options_.listen_operator, operator_port_);
        timeline_.record("process_started");
    }

    /// Answers the calls that are still open, waits until the answers are
    /// written and stops the threads. Only the first call has an effect.
    void close()
    {
        if (std::exchange(closed_, true))
        {
            return;
        }
        // Calls that arrive from here on are shed.
        events_.close();
        front_end_.stop_accepting();
        events_.drain([this](decide::event const& unhandled) {
            admission_.refuse(unhandled);
        });
        calls_.clear();
        front_end_.stop();
        flush(server_thread_);
        server_thread_.stop();
        client_thread_.stop();
    }

    daemon_options const options_;
    steady_clock clock_;
    process::event_queue<decide::event> events_;
    open_calls calls_;
    timeline timeline_;
    process::metrics metrics_;
    net::rpc_thread client_thread_;
    net_transport transport_;
    interpreter interpreter_;
    call_admission admission_;
    net::rpc_thread server_thread_;
    std::uint16_t const peer_port_;
    std::uint16_t const operator_port_;
    net::http_front_end front_end_;
    bool closed_ = false;
};

daemon::daemon(daemon_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

daemon::~daemon() = default;

std::uint16_t daemon::http_port() const { return impl_->http_port(); }
std::uint16_t daemon::peer_port() const { return impl_->peer_port(); }
std::uint16_t daemon::operator_port() const { return impl_->operator_port(); }
void daemon::run() { impl_->run(); }
void daemon::request_stop() { impl_->request_stop(); }

} // namespace jaydrift::app
