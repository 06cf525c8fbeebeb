#ifndef JAYDRIFT_APP_SILENT_CALLS_HPP
#define JAYDRIFT_APP_SILENT_CALLS_HPP

#include <jaydrift/net/responder.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace jaydrift::app {

/// Calls that wait for an answer, some of which never get one: the caller of
/// a dropped call has to time out, as with a store that is gone.
template<class Reply>
class silent_calls
{
public:
    /// Keeps a call and returns its number.
    std::uint64_t add(net::responder<Reply> respond)
    {
        std::lock_guard const lock(mutex_);
        calls_.emplace(++last_, std::move(respond));
        return last_;
    }

    void answer(std::uint64_t number, Reply reply)
    {
        if (auto const call = take(number); !call.empty())
        {
            call.mapped()(std::move(reply));
        }
    }

    /// Leaves a call without an answer. The oldest of more than `max_dropped`
    /// such calls fails.
    void drop(std::uint64_t number)
    {
        std::optional<net::responder<Reply>> oldest;
        auto call = take(number);
        std::lock_guard const lock(mutex_);
        if (!call.empty())
        {
            dropped_.push_back(std::move(call.mapped()));
        }
        if (dropped_.size() > max_dropped)
        {
            oldest = std::move(dropped_.front());
            dropped_.pop_front();
        }
    }

private:
    static constexpr std::size_t max_dropped = 4096;

    /// The responder runs outside the lock, because it may call back.
    auto take(std::uint64_t number)
    {
        std::lock_guard const lock(mutex_);
        return calls_.extract(number);
    }

    std::mutex mutex_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, net::responder<Reply>> calls_;
    std::deque<net::responder<Reply>> dropped_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_SILENT_CALLS_HPP
