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

/// Lets other threads read the state that the control thread owns. The text is
/// made between two steps, so that the state is never copied.
template<class State>
class state_reader
{
public:
    /// Makes a text of the state, on the control thread.
    using view = std::function<std::string(State const&)>;

    /// Asks for a text and waits for it; `wake` must lead to a step of the
    /// reducer. Returns nothing if the control thread has ended.
    std::optional<std::string> read(view make,
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
            waiting_.emplace_back(std::move(make), std::move(promise));
        }
        wake();
        try
        {
            return text.get();
        }
        catch (std::future_error const&)
        {
            return std::nullopt;
        }
    }

    /// Answers those who wait, on the control thread.
    void serve(State const& state)
    {
        std::vector<waiting> ready;
        {
            std::lock_guard const lock(mutex_);
            ready.swap(waiting_);
        }
        for (auto& [make, promise] : ready)
        {
            promise.set_value(make(state));
        }
    }

    /// Ends every wait; called when the control thread takes no more steps.
    void close()
    {
        std::lock_guard const lock(mutex_);
        closed_ = true;
        waiting_.clear();
    }

private:
    using waiting = std::pair<view, std::promise<std::string>>;

    std::mutex mutex_;
    bool closed_ = false;
    std::vector<waiting> waiting_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STATE_READER_HPP
