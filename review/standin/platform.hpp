#ifndef JAYDRIFT_REVIEW_PLATFORM_HPP
#define JAYDRIFT_REVIEW_PLATFORM_HPP

// Stand-ins of the users' platform for the scripts of the review: the store,
// workers, a client and the operator, in one process on loopback addresses.
// They follow ../given/kit/more/system/PROTOCOL.md. The daemons are started as
// separate processes with the command of deploy/system.toml.

#include <jaydrift/http/client.hpp>
#include <jaydrift/http/request.hpp>
#include <jaydrift/http/response.hpp>
#include <jaydrift/http/server.hpp>
#include <jaydrift/soak/key_value_store.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace review {

using jaydrift::http::request;
using jaydrift::http::response;
using responder = jaydrift::http::server::responder;

/// Milliseconds since the start of the test.
std::int64_t now_ms();

/// Writes a line to record.txt, after the time.
void record(std::string const& line);

/// What a task of the stand-in does. It is told in the submission's `spec`, as
/// "d=MS c=MILLICORES m=MB"; a duration of 0 means that the task lasts.
struct work
{
    std::int64_t duration_ms = 0;
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
};

/// How the store treats its calls.
enum class store_mode
{
    normal,
    /// Calls get no answer and are not carried out.
    silent,
    /// Calls are answered with 503.
    busy,
};

/// The platform's store.
class store
{
public:
    store(boost::asio::io_context& context, std::string const& address);

    store_mode mode = store_mode::normal;

    /// Delay of each answer.
    std::int64_t delay_ms = 0;

    jaydrift::soak::key_value_store items;

    /// Answers the watches that have something to report.
    void changed();

private:
    struct waiting_watch
    {
        request message;
        responder respond;
        std::chrono::steady_clock::time_point due;
    };

    void serve(request message, responder respond);
    void answer(responder const& respond, response reply);
    void tick();

    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    std::list<waiting_watch> watches_;
    jaydrift::http::server server_;
};

/// A start or end of a run, as the worker saw it.
struct run_event
{
    enum class kind_of
    {
        start,
        end,
        taken_note_of,
        lease_lapsed
    };
    kind_of kind = kind_of::start;
    std::int64_t at = 0;
    std::string worker;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
};

/// An executor: one machine, one life.
class worker
{
public:
    struct description
    {
        std::string id;
        std::string address;
        std::string zone;
        std::vector<std::string> labels;
        std::int64_t millicores = 64000;
        std::int64_t memory_mb = 250000;
        std::int64_t max_hold_ms = 6000;
    };

    worker(boost::asio::io_context& context, store& registry, description what,
           std::vector<run_event>& events);

    /// Registers in the store, and again at each heartbeat.
    void begin();

    /// Ends the life: no call is answered any more, and all runs end with it.
    /// The store drops the entry after three heartbeats of silence.
    void crash();

    std::size_t running() const { return runs_.size(); }
    std::int64_t used_millicores() const;

private:
    struct run_state
    {
        std::uint64_t number = 0;
        work what;
        std::chrono::steady_clock::time_point began;
    };
    struct end_entry
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };
    struct waiting_hold
    {
        responder respond;
        std::chrono::steady_clock::time_point due;
    };

    std::int64_t clock() const;
    void serve(request message, responder respond);
    void tick();
    void end(std::string const& task, std::string const& how);
    response lists() const;
    response refusal(unsigned status, std::string const& reason) const;
    void answer_holds(bool all);
    void note(run_event::kind_of kind, std::string const& task,
              std::uint64_t run, std::string const& how);
    void put_entry();

    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    store& registry_;
    description what_;
    std::vector<run_event>& events_;
    std::chrono::steady_clock::time_point born_;
    std::int64_t born_unix_ms_ = 0;
    std::int64_t next_heartbeat_ = 0;
    std::uint64_t sequence_ = 0;
    bool down_ = false;
    std::int64_t entry_until_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t lease_until_ = 0;
    bool lapse_noted_ = false;
    std::map<std::string, run_state> runs_;
    std::map<std::string, std::uint64_t> refused_;
    std::vector<end_entry> ends_;
    std::uint64_t last_end_ = 0;
    std::list<waiting_hold> holds_;
    std::unique_ptr<jaydrift::http::server> server_;
};

/// The answer to a client's call; status 0 if there was none.
struct call_answer
{
    unsigned status = 0;
    std::string body;
};

/// A jaydrift-scheduler process.
class daemon_process
{
public:
    daemon_process(std::string node, std::string ip, std::string zone,
                   std::string store_address, std::string folder,
                   std::string program, std::string root, double cpu_share);
    ~daemon_process();
    daemon_process(daemon_process const&) = delete;
    daemon_process& operator=(daemon_process const&) = delete;

    void start();
    void signal(int number) const;

    /// Waits until the process has ended; it must have been told to.
    void wait();

    std::string const& node() const { return node_; }
    std::string front() const { return ip_ + ":8161"; }
    std::string log_file() const { return folder_ + "/" + node_ + ".log"; }

private:
    std::string node_;
    std::string ip_;
    std::string folder_;
    std::string program_;
    std::string root_;
    std::string settings_file_;
    int pid_ = -1;
};

/// A deployment: the store, workers and daemons, on one io_context thread. The
/// member functions are called from the thread of the test.
class deployment
{
public:
    /// `cpu_share` is the share of a core that each daemon has.
    deployment(std::size_t daemons, std::string folder, double cpu_share = 1.0);
    ~deployment();

    /// Runs a function on the thread of the stand-ins and waits for it.
    void run(std::function<void()> const& action);

    /// Adds a worker; it registers at once.
    worker& add_worker(std::string const& id, std::vector<std::string> labels,
                       std::int64_t millicores = 64000);

    /// Writes a configuration with these queues. `NAME=PREFIX` is a queue with
    /// a name of its own; others are named by their prefix.
    void configure(std::vector<std::string> const& queues);

    /// Waits until all daemons are ready. Returns false after `limit_ms`.
    bool wait_ready(std::int64_t limit_ms);

    /// Sends a call to a daemon and waits for the answer.
    call_answer call(std::size_t daemon, std::string const& method,
                     std::string const& path, std::string const& body = {});

    /// Submits as a client does: repeats at other daemons after 503, 429 or no
    /// answer, up to `tries` times. Returns whether a 2xx came.
    bool submit(std::string const& queue, std::string const& id,
                std::string const& body, int tries = 6);

    /// The name of the daemon that wrote to the store last under a condition,
    /// which is the owner of the shard.
    std::size_t owner() const;

    std::vector<std::unique_ptr<daemon_process>> daemons;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<run_event> events;
    std::unique_ptr<store> platform_store;

private:
    std::string ip(int number) const;

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    std::unique_ptr<jaydrift::http::client> client_;
    std::string folder_;
    std::string network_;
    std::uint64_t config_version_ = 0;
    int next_worker_ = 100;
    std::thread thread_;
};

void pause_ms(std::int64_t ms);

} // namespace review

#endif // JAYDRIFT_REVIEW_PLATFORM_HPP
