#ifndef JAYDRIFT_NET_RPC_CODEC_HPP
#define JAYDRIFT_NET_RPC_CODEC_HPP

#include "operator_codec.hpp"
#include "peer_codec.hpp"
#include "rpc_limits.hpp"
#include "store_codec.hpp"
#include "worker_codec.hpp"

#include <jaydrift/net/codec_error.hpp>
#include <jaydrift/net/rpc_service.hpp>

#include <concepts>

namespace jaydrift::net {

/// A service whose messages have codecs for its generated interface.
template<class Service>
concept coded_service = rpc_service<Service> && requires(
    typename Service::request const& request,
    typename Service::reply const& reply,
    typename Service::interface::CallParams::Builder params,
    typename Service::interface::CallResults::Builder results)
{
    encode(request, params.initRequest());
    encode(reply, results.initReply());
    {
        decode(params.asReader().getRequest())
        } -> std::same_as<typename Service::request>;
    {
        decode(results.asReader().getReply())
        } -> std::same_as<typename Service::reply>;
};

/// Encodes a message and checks that a receiver takes its size.
///
/// @throws codec_error if the message is too large.
template<class Message, class Builder>
void encode_bounded(Message const& message, Builder out)
{
    encode(message, out);
    // 1024 words are for the RPC protocol's own fields.
    if (out.totalSize().wordCount + 1024 > max_message_words)
    {
        throw codec_error("the message exceeds 64 MB");
    }
}

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_CODEC_HPP
