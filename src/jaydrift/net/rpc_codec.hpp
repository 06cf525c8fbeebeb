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

/// A service whose messages can be encoded for its generated interface and
/// decoded from it.
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

/// Words of a message that are left for the fields of the RPC protocol itself.
inline constexpr std::uint64_t rpc_protocol_words = 1024;

/// Encodes a message and checks that a receiver accepts its size.
///
/// @throws codec_error if a field cannot be encoded or the message is too
/// large.
template<class Message, class Builder>
void encode_bounded(Message const& message, Builder out)
{
    encode(message, out);
    if (out.totalSize().wordCount + rpc_protocol_words > max_message_words)
    {
        throw codec_error("the message exceeds 64 MB");
    }
}

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_CODEC_HPP
