#ifndef JAYDRIFT_NET_RESPONDER_HPP
#define JAYDRIFT_NET_RESPONDER_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace jaydrift::net {

/// Sends the reply to one call, from any thread.
///
/// Copies belong to the same call; only the first reply is sent. When the last
/// copy is destroyed without a reply, the call ends without one.
template<class Reply>
class responder
{
public:
    /// Takes the reply, or nothing if there will be none. Called once, on the
    /// thread that sends the reply or destroys the last copy.
    using reply_handler = std::function<void(std::optional<Reply>)>;

    explicit responder(reply_handler handle_reply)
        : call_(std::make_shared<pending_call>(std::move(handle_reply)))
    {
    }

    /// Sends the reply; does nothing if one has been sent.
    void operator()(Reply reply) const { call_->send(std::move(reply)); }

private:
    class pending_call
    {
    public:
        explicit pending_call(reply_handler handle_reply)
            : handle_reply_(std::move(handle_reply))
        {
        }
        pending_call(pending_call const&) = delete;
        pending_call& operator=(pending_call const&) = delete;
        ~pending_call() { send(std::nullopt); }

        void send(std::optional<Reply> reply)
        {
            if (!sent_.exchange(true))
            {
                handle_reply_(std::move(reply));
            }
        }

    private:
        reply_handler handle_reply_;
        std::atomic<bool> sent_ = false;
    };

    std::shared_ptr<pending_call> call_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RESPONDER_HPP
