#ifndef JAYDRIFT_APP_CALL_TABLE_HPP
#define JAYDRIFT_APP_CALL_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include <jaydrift/net/responder.hpp>

namespace jaydrift::app {

/// Open calls with their responders, by call number; at most `capacity` at a
/// time. Owns the responders. Safe on any thread.
template<class Reply>
class call_table
{
public:
    explicit call_table(std::size_t capacity) : capacity_(capacity) {}

    /// Adds a call and returns its number, or nothing if the table is full.
    std::optional<std::uint64_t> add(net::responder<Reply> respond)
    {
        std::lock_guard const lock(mutex_);
        if (calls_.size() >= capacity_)
        {
            return std::nullopt;
        }
        calls_.emplace(++last_number_, std::move(respond));
        return last_number_;
    }

    /// Answers a call and removes it. Returns false if no call with this number
    /// is open, for example because it has been answered before.
    bool answer(std::uint64_t number, Reply reply)
    {
        auto const call = take(number);
        if (!call.empty())
        {
            call.mapped()(std::move(reply));
        }
        return !call.empty();
    }

    /// Removes every call without an answer, which tells its caller that the
    /// result is unknown.
    void clear()
    {
        std::map<std::uint64_t, net::responder<Reply>> removed;
        std::lock_guard const lock(mutex_);
        removed.swap(calls_);
    }

    std::size_t size() const
    {
        std::lock_guard const lock(mutex_);
        return calls_.size();
    }

private:
    /// Removes a call. Its responder is run outside the lock, because it may
    /// call this table again.
    auto take(std::uint64_t number)
    {
        std::lock_guard const lock(mutex_);
        return calls_.extract(number);
    }

    std::size_t const capacity_;
    mutable std::mutex mutex_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, net::responder<Reply>> calls_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_CALL_TABLE_HPP
