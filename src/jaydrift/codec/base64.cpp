#include <jaydrift/codec/base64.hpp>

#include <jaydrift/codec/codec_error.hpp>

#include <algorithm>
#include <exception>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace jaydrift::codec {

namespace {

namespace iterators = boost::archive::iterators;

using encoder = iterators::base64_from_binary<
    iterators::transform_width<std::string_view::const_iterator, 6, 8>>;
using decoder = iterators::transform_width<
    iterators::binary_from_base64<std::string_view::const_iterator>, 8, 6>;

/// Base64 encodes three bytes as this many characters.
constexpr std::size_t characters_per_group = 4;

} // namespace

std::string encode_base64(std::string_view bytes)
{
    std::string result;
    result.reserve((bytes.size() + 2) / 3 * characters_per_group);
    result.assign(encoder(bytes.begin()), encoder(bytes.end()));
    result.append((characters_per_group - result.size() % characters_per_group)
                      % characters_per_group,
                  '=');
    return result;
}

std::string decode_base64(std::string_view text)
{
    if (text.size() % characters_per_group != 0)
    {
        throw codec_error("not base64: the length is not a multiple of 4");
    }
    auto const padding = static_cast<std::size_t>(
        std::count(text.end() - std::min<std::ptrdiff_t>(2, std::ssize(text)),
                   text.end(), '='));
    text.remove_suffix(padding);
    try
    {
        std::string result(decoder(text.begin()), decoder(text.end()));
        result.resize(text.size() * 6 / 8);
        return result;
    }
    catch (std::exception const&)
    {
        throw codec_error("not base64: a character is not allowed");
    }
}

} // namespace jaydrift::codec
