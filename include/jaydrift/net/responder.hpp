#ifndef JAYDRIFT_NET_RESPONDER_HPP
#define JAYDRIFT_NET_RESPONDER_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace jaydrift::net {

/// Answers one call, from any thread. Copies answer the same call; only the
/// first answer counts. If every copy is destroyed without an answer, the call
/// fails.
template<class Reply>
class responder
{
public:
    /// Receives the answer, or nothing if there will be none; called once.
    using sink = std::function<void(std::optional<Reply>)>;

    explicit responder(sink receive)
        : state_(std::make_shared<state>(std::move(receive)))
    {
    }

    /// Answers the call; does nothing if it has been answered.
    void operator()(Reply reply) const { state_->answer(std::move(reply)); }

private:
    class state
    {
    public:
        explicit state(sink receive) : receive_(std::move(receive)) {}
        state(state const&) = delete;
        state& operator=(state const&) = delete;
        ~state() { answer(std::nullopt); }

        void answer(std::optional<Reply> reply)
        {
            if (!answered_.exchange(true))
            {
                receive_(std::move(reply));
            }
        }

    private:
        sink receive_;
        std::atomic<bool> answered_ = false;
    };

    std::shared_ptr<state> state_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RESPONDER_HPP
