#include "daemon_processes.hpp"

#include "regions.hpp"

#include <jaydrift/codec/json.hpp>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

namespace jaydrift::soak {

namespace {

/// Bounds in the settings file: the time to stop after SIGTERM (graceS) and how
/// long the state of an ended submission is kept (status_s).
constexpr int stop_grace_s = 6;
constexpr int status_retention_s = 120;

constexpr std::string_view ip = "127.0.0.1";

std::string address(unsigned short port)
{
    return std::string(ip) + ":" + std::to_string(port);
}

[[noreturn]] void fail(std::string const& message, int fault)
{
    throw std::system_error(fault, std::generic_category(), message);
}

} // namespace

daemon_processes::daemon_processes(options const& settings,
                                   std::vector<daemon_ports> ports)
    : settings_(settings), ports_(std::move(ports)), running_(ports_.size(), 0)
{
}

daemon_processes::~daemon_processes()
{
    for (auto const pid : running_)
    {
        if (pid > 0)
        {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }
}

std::string daemon_processes::write_settings(std::size_t daemon) const
{
    auto const& ports = ports_[daemon];
    rapidjson::StringBuffer buffer;
    codec::json_writer out(buffer);
    out.StartObject();
    codec::put_field(out, "nodeName", "d" + std::to_string(daemon));
    codec::put_field(out, "region", region_of(daemon));
    codec::put_field(out, "ip", ip);
    codec::put_key(out, "listenAddrs");
    out.StartObject();
    codec::put_field(out, "front", address(ports.callers));
    codec::put_field(out, "ready", address(ports.probe));
    out.EndObject();
    codec::put_key(out, "portRange");
    out.StartArray();
    out.Uint(ports.peers);
    out.Uint(ports.peers);
    out.EndArray();
    codec::put_key(out, "platform");
    out.StartObject();
    codec::put_field(out, "address", address(ports.store));
    out.EndObject();
    codec::put_key(out, "bounds");
    out.StartObject();
    codec::put_field(out, "maxHoldMs", settings_.max_lease.count());
    codec::put_field(out, "graceS", stop_grace_s);
    codec::put_field(out, "status_s", status_retention_s);
    out.EndObject();
    out.EndObject();
    auto path = settings_.folder + "/d" + std::to_string(daemon) + ".json";
    std::ofstream(path) << codec::text_of(buffer);
    return path;
}

void daemon_processes::start(std::size_t daemon)
{
    auto const config = "JAYDRIFT_CONFIG=" + write_settings(daemon);
    auto const log = settings_.folder + "/d" + std::to_string(daemon) + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (auto const output : {1, 2})
    {
        posix_spawn_file_actions_addopen(&actions, output, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
    }
    // A child inherits the signal mask; signals that this program blocks must
    // reach the daemon. Those that it waits for stay pending until it does, or
    // one that comes before `main` would end it.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGHUP);
    sigaddset(&blocked, SIGTERM);
    posix_spawnattr_setsigmask(&attributes, &blocked);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    std::string program = settings_.program;
    std::string no_metrics = "--metrics-port=0";
    std::array<char*, 3> arguments{program.data(), no_metrics.data(), nullptr};
    std::string environment = config;
    std::array<char*, 2> variables{environment.data(), nullptr};
    pid_t pid = 0;
    auto const fault = posix_spawn(&pid, program.c_str(), &actions, &attributes,
                                   arguments.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    if (fault != 0)
    {
        fail("cannot start " + program, fault);
    }
    running_[daemon] = pid;
}

void daemon_processes::signal(std::size_t daemon, int number)
{
    if (running_[daemon] > 0 && ::kill(running_[daemon], number) != 0)
    {
        fail("cannot signal daemon " + std::to_string(daemon), errno);
    }
}

void daemon_processes::reap(
    std::function<void(std::size_t, int, int)> const& exited)
{
    for (std::size_t i = 0; i < running_.size(); ++i)
    {
        auto status = 0;
        if (running_[i] > 0 && ::waitpid(running_[i], &status, WNOHANG) > 0)
        {
            running_[i] = 0;
            exited(i, WIFEXITED(status) ? WEXITSTATUS(status) : 0,
                   WIFSIGNALED(status) ? WTERMSIG(status) : 0);
        }
    }
}

} // namespace jaydrift::soak
