#ifndef JAYDRIFT_APP_DROPPABLE_CALLS_HPP
#define JAYDRIFT_APP_DROPPABLE_CALLS_HPP

#include <jaydrift/net/responder.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace jaydrift::app {

/// Open calls with their responders, by call number. A dropped call is kept
/// without an answer, so that its caller times out as with an unreachable
/// store. Safe on any thread.
template<class Reply>
class droppable_calls
{
public:
    /// Adds a call and returns its number.
    std::uint64_t add(net::responder<Reply> respond)
    {
        std::lock_guard const lock(mutex_);
        calls_.emplace(++last_number_, std::move(respond));
        return last_number_;
    }

    /// Answers a call and removes it; does nothing if it is not open.
    void answer(std::uint64_t number, Reply reply)
    {
        if (auto const call = take(number); !call.empty())
        {
            call.mapped()(std::move(reply));
        }
    }

    /// Leaves a call without an answer. At most `max_dropped_calls` are kept;
    /// beyond that, the oldest one fails.
    void drop(std::uint64_t number)
    {
        std::optional<net::responder<Reply>> failing_call;
        auto call = take(number);
        std::lock_guard const lock(mutex_);
        if (!call.empty())
        {
            dropped_calls_.push_back(std::move(call.mapped()));
        }
        if (dropped_calls_.size() > max_dropped_calls)
        {
            failing_call = std::move(dropped_calls_.front());
            dropped_calls_.pop_front();
        }
    }

private:
    static constexpr std::size_t max_dropped_calls = 4096;

    /// Removes a call. Its responder is run outside the lock, because it may
    /// call this object again.
    auto take(std::uint64_t number)
    {
        std::lock_guard const lock(mutex_);
        return calls_.extract(number);
    }

    std::mutex mutex_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, net::responder<Reply>> calls_;
    std::deque<net::responder<Reply>> dropped_calls_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_DROPPABLE_CALLS_HPP
