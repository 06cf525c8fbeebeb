#include <jaydrift/process/signal_watch.hpp>

#include <csignal>
#include <utility>

#include <pthread.h>

namespace jaydrift::process {

namespace {

/// The destructor sends it to end the thread. Ignored when another process
/// sends it.
constexpr int wake_signal = SIGUSR1;

sigset_t handled_signals()
{
    sigset_t result;
    sigemptyset(&result);
    sigaddset(&result, SIGTERM);
    sigaddset(&result, SIGINT);
    sigaddset(&result, SIGHUP);
    sigaddset(&result, wake_signal);
    return result;
}

} // namespace

void block_handled_signals()
{
    auto const blocked = handled_signals();
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

signal_watch::signal_watch(std::function<void()> on_stop,
                           std::function<void()> on_reload)
    : thread_(
        [this, on_stop = std::move(on_stop), on_reload = std::move(on_reload)] {
            auto const handled = handled_signals();
            int received = 0;
            while (sigwait(&handled, &received) == 0 && !ending_)
            {
                if (received == SIGHUP)
                {
                    on_reload();
                }
                else if (received != wake_signal)
                {
                    on_stop();
                }
            }
        })
{
}

signal_watch::~signal_watch()
{
    ending_ = true;
    pthread_kill(thread_.native_handle(), wake_signal);
    thread_.join();
}

} // namespace jaydrift::process
