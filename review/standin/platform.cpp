#include "platform.hpp"

#include <jaydrift/codec/base64.hpp>
#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <future>
#include <iostream>
#include <random>

#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace codec = jaydrift::codec;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

steady::time_point const test_began = steady::now();
std::mutex record_mutex;

std::ofstream& record_file()
{
    static std::ofstream file(std::getenv("RECORD") ? std::getenv("RECORD")
                                                    : "record.txt");
    return file;
}

response json_response(unsigned status, rapidjson::StringBuffer const& body)
{
    return {
        status, {{"Content-Type", "application/json"}}, codec::text_of(body)};
}

std::int64_t value_of(std::string const& spec, std::string const& name)
{
    auto const text = ' ' + spec;
    auto const key = ' ' + name + '=';
    auto const at = text.find(key);
    return at == std::string::npos ? 0
                                   : std::atoll(text.c_str() + at + key.size());
}

work work_of(std::string const& spec)
{
    return {value_of(spec, "d"), value_of(spec, "c"), value_of(spec, "m")};
}

std::int64_t query_number(std::string const& target, std::string const& name)
{
    auto const at = target.find(name + "=");
    return at == std::string::npos
               ? 0
               : std::atoll(target.c_str() + at + name.size() + 1);
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - test_began)
        .count();
}

void record(std::string const& line)
{
    std::lock_guard const lock(record_mutex);
    record_file() << now_ms() << ' ' << line << '\n' << std::flush;
}

void pause_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

store::store(boost::asio::io_context& context, std::string const& address)
    : context_(context), timer_(context),
      server_(context, address, [this](request message, responder respond) {
          serve(std::move(message), std::move(respond));
      })
{
    tick();
}

void store::answer(responder const& respond, response reply)
{
    if (delay_ms == 0)
    {
        respond(std::move(reply));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(milliseconds(delay_ms));
    timer->async_wait([timer, respond, reply = std::move(reply)](auto const&) {
        respond(reply);
    });
}

void store::serve(request message, responder respond)
{
    if (mode == store_mode::silent)
    {
        return;
    }
    if (mode == store_mode::busy)
    {
        respond({503, {}, {}});
        return;
    }
    auto const writes = message.method == "POST";
    auto reply = items.handle(message);
    if (!reply)
    {
        auto const wait = std::min<std::int64_t>(
            query_number(message.target, "waitMs"), 30000);
        watches_.push_back({std::move(message), std::move(respond),
                            steady::now() + milliseconds(wait)});
        return;
    }
    auto const written = writes && reply->status == 200;
    answer(respond, std::move(*reply));
    if (written)
    {
        changed();
    }
}

void store::changed()
{
    if (mode != store_mode::normal)
    {
        return;
    }
    for (auto each = watches_.begin(); each != watches_.end();)
    {
        auto reply = items.handle(each->message);
        if (!reply && steady::now() >= each->due)
        {
            reply = response{200,
                             {{"Content-Type", "application/json"}},
                             "{\"events\":[],\"atRev\":"
                                 + std::to_string(items.revision()) + "}"};
        }
        if (reply)
        {
            answer(each->respond, std::move(*reply));
            each = watches_.erase(each);
        }
        else
        {
            ++each;
        }
    }
}

void store::tick()
{
    if (mode == store_mode::silent)
    {
        // Their connections stay silent.
        watches_.clear();
    }
    else if (mode == store_mode::busy)
    {
        for (auto const& each : watches_)
        {
            each.respond({503, {}, {}});
        }
        watches_.clear();
    }
    items.expire_history(jaydrift::time_ms(now_ms()));
    changed();
    timer_.expires_after(milliseconds(10));
    timer_.async_wait([this](auto const& error) {
        if (!error)
        {
            tick();
        }
    });
}

worker::worker(boost::asio::io_context& context, store& registry,
               description what, std::vector<run_event>& events)
    : context_(context), timer_(context), registry_(registry),
      what_(std::move(what)), events_(events), born_(steady::now()),
      born_unix_ms_(std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count())
{
}

void worker::begin()
{
    server_ = std::make_unique<jaydrift::http::server>(
        context_, what_.address, [this](request message, responder respond) {
            serve(std::move(message), std::move(respond));
        });
    record("worker " + what_.id + " registers");
    tick();
}

void worker::crash()
{
    record("worker " + what_.id + " crashes");
    down_ = true;
    for (auto const& [task, each] : runs_)
    {
        note(run_event::kind_of::end, task, each.number, "crashed");
    }
    runs_.clear();
    ends_.clear();
    holds_.clear();
    constexpr std::int64_t silence_ms = 4500;
    entry_until_ = now_ms() + silence_ms;
}

std::int64_t worker::clock() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - born_)
        .count();
}

std::int64_t worker::used_millicores() const
{
    std::int64_t sum = 0;
    for (auto const& [task, each] : runs_)
    {
        sum += each.what.millicores;
    }
    return sum;
}

void worker::note(run_event::kind_of kind, std::string const& task,
                  std::uint64_t run, std::string const& how)
{
    events_.push_back({kind, now_ms(), what_.id, task, run, how});
    static constexpr char const* names[] = {"starts", "ends", "taken note of",
                                            "lease lapses"};
    record(what_.id + ' ' + names[static_cast<int>(kind)] + ' ' + task + " run "
           + std::to_string(run) + ' ' + how);
}

void worker::put_entry()
{
    rapidjson::StringBuffer buffer;
    codec::json_writer out(buffer);
    out.StartObject();
    codec::put_field(out, "service", "hub");
    codec::put_field(out, "address", what_.address);
    codec::put_field(out, "zone", what_.zone);
    codec::put_field(out, "version", "v1");
    codec::put_key(out, "slots");
    out.Int(8);
    codec::put_field(out, "state", "ready");
    codec::put_key(out, "coldLeftMs");
    out.Int(0);
    codec::put_key(out, "capacity");
    out.StartObject();
    codec::put_key(out, "cpu");
    out.Int64(what_.millicores);
    codec::put_key(out, "memMb");
    out.Int64(what_.memory_mb);
    codec::put_key(out, "gpu");
    out.Int(0);
    out.EndObject();
    codec::put_key(out, "labels");
    out.StartArray();
    for (auto const& label : what_.labels)
    {
        codec::put(out, label);
    }
    out.EndArray();
    codec::put_key(out, "sequence");
    out.Uint64(++sequence_);
    codec::put_key(out, "born");
    out.Int64(born_unix_ms_);
    out.EndObject();
    registry_.items.put("servers/" + what_.id,
                        codec::encode_base64(codec::text_of(buffer)));
    registry_.changed();
}

void worker::end(std::string const& task, std::string const& how)
{
    auto const found = runs_.find(task);
    auto const number = found->second.number;
    runs_.erase(found);
    auto& refused = refused_[task];
    refused = std::max(refused, number);
    ends_.push_back({++last_end_, task, number, how});
    note(run_event::kind_of::end, task, number, how);
}

void worker::tick()
{
    if (down_)
    {
        if (now_ms() >= entry_until_ && registry_.mode == store_mode::normal)
        {
            registry_.items.remove("servers/" + what_.id);
            registry_.changed();
            return;
        }
        timer_.expires_after(milliseconds(50));
        timer_.async_wait([this](auto const& error) {
            if (!error)
            {
                tick();
            }
        });
        return;
    }
    if (registry_.mode == store_mode::normal && now_ms() >= next_heartbeat_)
    {
        next_heartbeat_ = now_ms() + 1500;
        put_entry();
    }
    std::vector<std::pair<std::string, std::string>> ended;
    auto const lapsed = lease_until_ > 0 && clock() > lease_until_;
    if (lapsed && !lapse_noted_)
    {
        note(run_event::kind_of::lease_lapsed, "-", 0, {});
    }
    lapse_noted_ = lapsed;
    for (auto const& [task, each] : runs_)
    {
        if (each.what.duration_ms > 0
            && steady::now() - each.began
                   >= milliseconds(each.what.duration_ms))
        {
            ended.emplace_back(task, "done");
        }
        else if (lapsed)
        {
            ended.emplace_back(task, "lapsed");
        }
    }
    for (auto const& [task, how] : ended)
    {
        end(task, how);
    }
    answer_holds(false);
    timer_.expires_after(milliseconds(10));
    timer_.async_wait([this](auto const& error) {
        if (!error)
        {
            tick();
        }
    });
}

void worker::answer_holds(bool all)
{
    for (auto each = holds_.begin(); each != holds_.end();)
    {
        if (all || !ends_.empty() || steady::now() >= each->due)
        {
            each->respond(lists());
            each = holds_.erase(each);
        }
        else
        {
            ++each;
        }
    }
}

response worker::lists() const
{
    // "The others are returned again (500 at a time)."
    constexpr std::size_t max_listed_ends = 500;
    rapidjson::StringBuffer buffer;
    codec::json_writer out(buffer);
    out.StartObject();
    codec::put_key(out, "clockMs");
    out.Int64(clock());
    codec::put_key(out, "born");
    out.Int64(born_unix_ms_);
    codec::put_key(out, "running");
    out.StartArray();
    for (auto const& [task, each] : runs_)
    {
        auto const age =
            std::chrono::duration_cast<milliseconds>(steady::now() - each.began)
                .count();
        out.StartArray();
        codec::put(out, task);
        out.Uint64(each.number);
        codec::put(out, "");
        out.Int64(each.what.duration_ms == 0
                      ? 100
                      : std::min<std::int64_t>(
                          99, age * 100 / each.what.duration_ms));
        out.Int64(each.what.millicores);
        out.EndArray();
    }
    out.EndArray();
    codec::put_key(out, "finished");
    out.StartArray();
    for (std::size_t i = 0; i < std::min(max_listed_ends, ends_.size()); ++i)
    {
        out.StartArray();
        out.Uint64(ends_[i].number);
        codec::put(out, ends_[i].task);
        out.Uint64(ends_[i].run);
        codec::put(out, ends_[i].how);
        codec::put(out, "");
        out.EndArray();
    }
    out.EndArray();
    out.EndObject();
    return json_response(200, buffer);
}

response worker::refusal(unsigned status, std::string const& reason) const
{
    rapidjson::StringBuffer buffer;
    codec::json_writer out(buffer);
    out.StartObject();
    codec::put_key(out, "clockMs");
    out.Int64(clock());
    if (!reason.empty())
    {
        codec::put_field(out, "reason", reason);
    }
    out.EndObject();
    return json_response(status, buffer);
}

void worker::serve(request message, responder respond)
{
    if (down_)
    {
        return;
    }
    if (message.header("Expected-Instance") != what_.id)
    {
        respond(refusal(421, {}));
        return;
    }
    try
    {
        auto const body = codec::parse_object(message.body);
        auto const fence =
            static_cast<std::uint64_t>(codec::integer(body, "fenceToken"));
        if (fence < fence_)
        {
            respond(refusal(409, "fence"));
            return;
        }
        fence_ = fence;
        auto const deadline = codec::integer(body, "deadlineMs");
        lease_until_ = std::max(
            lease_until_, std::min(deadline, clock() + what_.max_hold_ms));
        if (message.target == "/api/hold")
        {
            auto const seen =
                static_cast<std::uint64_t>(codec::integer(body, "lastSeen"));
            std::erase_if(ends_, [&](end_entry const& each) {
                if (each.number <= seen)
                {
                    note(run_event::kind_of::taken_note_of, each.task, each.run,
                         each.how);
                }
                return each.number <= seen;
            });
            auto const wait = codec::integer(body, "waitMs");
            holds_.push_back(
                {std::move(respond), steady::now() + milliseconds(wait)});
            answer_holds(wait == 0);
            return;
        }
        auto const task = codec::text(body, "task");
        auto const run =
            static_cast<std::uint64_t>(codec::integer(body, "runId"));
        auto const found = runs_.find(task);
        if (message.target == "/api/run-start")
        {
            if (found != runs_.end() && found->second.number == run)
            {
                respond(refusal(200, {}));
                return;
            }
            auto const refused = refused_.find(task);
            if (refused != refused_.end() && run <= refused->second)
            {
                respond(refusal(409, "old"));
                return;
            }
            if (deadline < clock())
            {
                respond(refusal(409, "late"));
                return;
            }
            auto const what = work_of(codec::text(body, "spec"));
            if (used_millicores() + what.millicores > what_.millicores)
            {
                respond(refusal(409, "room"));
                return;
            }
            runs_[task] = {run, what, steady::now()};
            note(run_event::kind_of::start, task, run, {});
        }
        else if (message.target == "/api/run-stop")
        {
            auto& refused = refused_[task];
            refused = std::max(refused, run);
            if (found != runs_.end() && found->second.number <= run)
            {
                end(task, "stopped");
                answer_holds(false);
            }
        }
        respond(refusal(200, {}));
    }
    catch (codec::codec_error const& error)
    {
        record(what_.id + " cannot read an order: " + error.what());
        respond(refusal(400, {}));
    }
}

daemon_process::daemon_process(std::string node, std::string ip,
                               std::string zone, std::string store_address,
                               std::string folder, std::string program,
                               std::string root, double cpu_share)
    : node_(std::move(node)), ip_(std::move(ip)), folder_(std::move(folder)),
      program_(std::move(program)), root_(std::move(root)),
      settings_file_(folder_ + "/" + node_ + ".json")
{
    std::ofstream file(settings_file_);
    file << "{\"nodeName\":\"" << node_
         << "\",\"role\":\"scheduler\",\"machineClass\":\"edge\",\"serves\":"
            "[\"edge\"],\"ip\":\""
         << ip_ << "\",\"zone\":\"" << zone
         << "\",\"region\":\"north\",\"zones\":{\"z1\":\"north\",\"z2\":"
            "\"north\",\"z3\":\"north\"},\"listenAddrs\":{\"front\":\""
         << ip_ << ":8161\",\"ready\":\"" << ip_
         << ":8167\"},\"portRange\":[7720,7735],\"seeds\":[],\"bootstrap\":"
            "true,\"limits\":{\"cpuShare\":"
         << cpu_share
         << ",\"cores\":1,\"memoryMb\":260,"
            "\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},\"dataDir\":"
            "null,\"discovery\":\"platform\",\"heartbeatMs\":1500,"
            "\"faultTolerance\":{\"machines\":2,\"zones\":1,\"regions\":0},"
            "\"bounds\":{\"stableMs\":3000,\"ackMs\":4000,\"graceS\":6,"
            "\"maxHoldMs\":6000,\"stopGraceMs\":900,\"gangWaitMs\":3000,"
            "\"cancel_ms\":3000,\"visible_ms\":3000,\"finish_s\":14,"
            "\"status_s\":120},\"orders\":\"invocation\",\"platform\":{"
            "\"address\":\""
         << store_address
         << "\",\"form\":\"kv\",\"writesPerS\":400,\"readsPerS\":2000,"
            "\"retentionS\":20,\"valueBytes\":1048576,\"minTtlMs\":1000}}\n";
}

daemon_process::~daemon_process()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        wait();
    }
}

void daemon_process::start()
{
    record("daemon " + node_ + " starts");
    if (pid_ > 0)
    {
        return;
    }
    pid_ = ::fork();
    if (pid_ == 0)
    {
        // The daemon ends with the test, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        auto const log =
            ::open(log_file().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("JAYDRIFT_CONFIG", settings_file_.c_str(), 1);
        if (::chdir(root_.c_str()) != 0)
        {
            ::_exit(127);
        }
        ::execl(program_.c_str(), program_.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
}

void daemon_process::signal(int number) const
{
    // A process ID of -1 would address every process.
    if (pid_ > 0)
    {
        record("daemon " + node_ + " gets signal " + std::to_string(number));
        ::kill(pid_, number);
    }
}

void daemon_process::wait()
{
    if (pid_ > 0)
    {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = -1;
        record("daemon " + node_ + " has ended");
    }
}

deployment::deployment(std::size_t count, std::string folder, double cpu_share)
    : guard_(boost::asio::make_work_guard(context_)), folder_(std::move(folder))
{
    // Loopback addresses of its own, so that the ports are free.
    std::random_device device;
    network_ = "127." + std::to_string(10 + device() % 200) + "."
               + std::to_string(1 + device() % 250) + ".";
    client_ = std::make_unique<jaydrift::http::client>(context_);
    platform_store = std::make_unique<store>(context_, ip(1) + ":8169");
    thread_ = std::thread([this] { context_.run(); });
    auto const* const root = std::getenv("ROOT");
    std::string const base = root ? root : ".";
    for (std::size_t i = 0; i < count; ++i)
    {
        daemons.push_back(std::make_unique<daemon_process>(
            "edge-" + std::to_string(i + 1), ip(static_cast<int>(i) + 11),
            "z" + std::to_string(i % 3 + 1), ip(1) + ":8169", folder_,
            base + "/target/jaydrift-scheduler", base, cpu_share));
    }
}

deployment::~deployment()
{
    daemons.clear();
    guard_.reset();
    context_.stop();
    thread_.join();
}

std::string deployment::ip(int number) const
{
    return network_ + std::to_string(number);
}

void deployment::run(std::function<void()> const& action)
{
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

worker& deployment::add_worker(std::string const& id,
                               std::vector<std::string> labels,
                               std::int64_t millicores)
{
    worker* added = nullptr;
    run([&] {
        worker::description what;
        what.id = id;
        what.address = ip(next_worker_++) + ":8080";
        what.zone = "z" + std::to_string(workers.size() % 3 + 1);
        what.labels = std::move(labels);
        what.millicores = millicores;
        workers.push_back(
            std::make_unique<worker>(context_, *platform_store, what, events));
        added = workers.back().get();
        added->begin();
    });
    return *added;
}

void deployment::configure(std::vector<std::string> const& queues)
{
    rapidjson::StringBuffer buffer;
    codec::json_writer out(buffer);
    out.StartObject();
    codec::put_key(out, "version");
    config_version_ += 3;
    out.Uint64(config_version_);
    codec::put_key(out, "routes");
    out.StartArray();
    std::string names;
    for (auto const& queue : queues)
    {
        names += ' ' + queue;
        out.StartObject();
        auto const split = queue.find('=');
        auto const prefix =
            split == std::string::npos ? queue : queue.substr(split + 1);
        codec::put_field(out, "name", "r-" + queue.substr(0, split));
        codec::put_field(out, "host", "jobs.example");
        codec::put_field(out, "prefix", "/" + prefix + "/");
        codec::put_field(out, "type", "non_idempotent");
        codec::put_key(out, "timeoutMs");
        out.Int(3000);
        codec::put_key(out, "targetLatencyMs");
        out.Int(1000);
        codec::put_key(out, "priority");
        out.Int(1);
        codec::put_field(out, "service", "hub");
        codec::put_key(out, "attempts");
        out.Int(4);
        codec::put_key(out, "slackFactor");
        out.Double(2.0);
        out.EndObject();
    }
    out.EndArray();
    codec::put_key(out, "services");
    out.StartArray();
    out.StartObject();
    codec::put_field(out, "name", "hub");
    codec::put_field(out, "healthPath", "/health");
    codec::put_key(out, "rejectsOverload");
    out.Bool(true);
    out.EndObject();
    out.EndArray();
    out.EndObject();
    run([&] {
        platform_store->items.put("op/config",
                                  codec::encode_base64(codec::text_of(buffer)));
        platform_store->changed();
    });
    record("operator: version " + std::to_string(config_version_)
           + " with the queues" + names);
}

bool deployment::wait_ready(std::int64_t limit_ms)
{
    auto const until = now_ms() + limit_ms;
    for (std::size_t i = 0; i < daemons.size();)
    {
        std::promise<unsigned> status;
        run([&] {
            auto address = daemons[i]->front();
            address.back() = '7';
            request message;
            message.target = "/api/ready";
            client_->call(address, "ready", 1, message, jaydrift::time_ms(1000),
                          [&status](jaydrift::http::call_result result) {
                              status.set_value(
                                  result.outcome
                                          == jaydrift::http::call_result::
                                              outcome_kind::answered
                                      ? result.reply.status
                                      : 0);
                          });
        });
        if (status.get_future().get() == 200)
        {
            ++i;
            continue;
        }
        if (now_ms() > until)
        {
            return false;
        }
        pause_ms(50);
    }
    return true;
}

call_answer deployment::call(std::size_t daemon, std::string const& method,
                             std::string const& path, std::string const& body)
{
    constexpr std::int64_t time_limit_ms = 3000;
    std::promise<call_answer> done;
    auto future = done.get_future();
    run([&] {
        request message;
        message.method = method;
        message.target = path;
        message.host = "jobs.example";
        message.headers = {{"Content-Type", "application/json"},
                           {"Request-Timeout", std::to_string(time_limit_ms)}};
        message.body = body;
        client_->call(
            daemons[daemon]->front(), "client", 16, std::move(message),
            jaydrift::time_ms(time_limit_ms),
            [&done](jaydrift::http::call_result result) {
                done.set_value(
                    result.outcome
                            == jaydrift::http::call_result::outcome_kind::
                                answered
                        ? call_answer{result.reply.status, result.reply.body}
                        : call_answer{});
            });
    });
    auto answer = future.get();
    record("client: " + method + ' ' + path + " at " + daemons[daemon]->node()
           + " -> " + std::to_string(answer.status) + ' ' + answer.body);
    return answer;
}

bool deployment::submit(std::string const& queue, std::string const& id,
                        std::string const& body, int tries)
{
    for (int i = 0; i < tries; ++i)
    {
        auto const daemon = static_cast<std::size_t>(i) % daemons.size();
        auto const answer = call(daemon, "POST", "/" + queue + "/" + id, body);
        if (answer.status >= 200 && answer.status < 300)
        {
            return true;
        }
        pause_ms(500);
    }
    return false;
}

std::size_t deployment::owner() const
{
    // The owner record names the daemon. It is read as a daemon reads it.
    std::string value;
    auto& self = const_cast<deployment&>(*this);
    self.run([&] {
        request message;
        message.target = "/api/kv-key?key=jaydrift/coordination/owner/0";
        auto const reply = self.platform_store->items.handle(message);
        if (reply && reply->status == 200)
        {
            value = codec::decode_base64(
                codec::text(codec::parse_object(reply->body), "value"));
        }
    });
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        if (value.find('"' + daemons[i]->node() + '"') != std::string::npos)
        {
            return i;
        }
    }
    return daemons.size();
}

} // namespace review
