#ifndef JAYDRIFT_PROCESS_SIGNAL_WATCH_HPP
#define JAYDRIFT_PROCESS_SIGNAL_WATCH_HPP

#include <atomic>
#include <functional>
#include <thread>

namespace jaydrift::process {

/// Owns a thread that calls `on_stop` each time SIGTERM or SIGINT arrives, and
/// `on_reload` each time SIGHUP arrives.
///
/// @pre `block_handled_signals` was called before any thread was started.
class signal_watch
{
public:
    explicit signal_watch(
        std::function<void()> on_stop, std::function<void()> on_reload = [] {});
    signal_watch(signal_watch const&) = delete;
    signal_watch& operator=(signal_watch const&) = delete;
    /// Ends the thread, after a call that is still running.
    ~signal_watch();

private:
    std::atomic<bool> ending_ = false;
    std::thread thread_;
};

/// Blocks the signals that `signal_watch` waits for in the calling thread and
/// in the threads that it starts afterwards: SIGTERM, SIGINT, SIGHUP, and
/// SIGUSR1, which the destructor of `signal_watch` sends to end its thread.
/// Also ignores SIGPIPE in the whole process, so that a peer that closes its
/// connection does not end it.
void block_handled_signals();

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_SIGNAL_WATCH_HPP
