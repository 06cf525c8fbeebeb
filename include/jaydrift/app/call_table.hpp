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

/// Calls that wait for an answer, by number; at most a fixed count. Safe on
/// any thread.
template<class Reply>
class call_table
{
public:
    explicit call_table(std::size_t capacity) : capacity_(capacity) {}

    /// Keeps a call and returns its number, or nothing if the table is full.
    std::optional<std::uint64_t> add(net::responder<Reply> respond)
    {
        std::lock_guard const lock(mutex_);
        if (calls_.size() >= capacity_)
        {
            return std::nullopt;
        }
        calls_.emplace(++last_, std::move(respond));
        return last_;
    }

    /// Answers a call and forgets it. Returns false if there is none with this
    /// number, such as when it has been answered.
    bool answer(std::uint64_t number, Reply reply)
    {
        auto const call = take(number);
        if (!call.empty())
        {
            call.mapped()(std::move(reply));
        }
        return !call.empty();
    }

    /// Forgets every call without an answer, which tells the caller that its
    /// result is unknown.
    void clear()
    {
        std::map<std::uint64_t, net::responder<Reply>> dropped;
        std::lock_guard const lock(mutex_);
        dropped.swap(calls_);
    }

    std::size_t size() const
    {
        std::lock_guard const lock(mutex_);
        return calls_.size();
    }

private:
    /// The responder runs outside the lock, because it may call back.
    auto take(std::uint64_t number)
    {
        std::lock_guard const lock(mutex_);
        return calls_.extract(number);
    }

    std::size_t const capacity_;
    mutable std::mutex mutex_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, net::responder<Reply>> calls_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_CALL_TABLE_HPP
