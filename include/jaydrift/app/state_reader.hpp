#ifndef JAYDRIFT_APP_STATE_READER_HPP
#define JAYDRIFT_APP_STATE_READER_HPP

#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::app {

/// Lets other threads read the state that the control thread owns. The control
/// thread formats the state between two steps, so that it is never copied.
template<class State>
class state_reader
{
public:
    /// Formats the state, on the control thread.
    using formatter = std::function<std::string(State const&)>;

    /// Waits until the control thread has formatted the state, and returns the
    /// text, or nothing if the control thread has ended. `wake` must cause a
    /// step of the reducer, after which `serve` is called.
    std::optional<std::string> read(formatter format,
                                    std::function<void()> const& wake)
    {
        std::promise<std::string> promise;
        auto text = promise.get_future();
        {
            std::lock_guard const lock(mutex_);
            if (closed_)
            {
                return std::nullopt;
            }
            pending_reads_.emplace_back(std::move(format), std::move(promise));
        }
        wake();
        try
        {
            return text.get();
        }
        catch (std::future_error const&)
        {
            // `close` has destroyed the promise.
            return std::nullopt;
        }
    }

    /// Answers the pending reads, on the control thread.
    void serve(State const& state)
    {
        std::vector<pending_read> reads;
        {
            std::lock_guard const lock(mutex_);
            reads.swap(pending_reads_);
        }
        for (auto& [format, promise] : reads)
        {
            promise.set_value(format(state));
        }
    }

    /// Makes every pending and later read return nothing. Called when the
    /// control thread takes no more steps.
    void close()
    {
        std::lock_guard const lock(mutex_);
        closed_ = true;
        pending_reads_.clear();
    }

private:
    using pending_read = std::pair<formatter, std::promise<std::string>>;

    std::mutex mutex_;
    bool closed_ = false;
    std::vector<pending_read> pending_reads_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STATE_READER_HPP
