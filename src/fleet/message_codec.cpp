#include "fleet/message_codec.hpp"

#include "fleet/field_codecs.hpp"

#include <exception>
#include <string>
#include <utility>

namespace pollenward::fleet {

namespace {

    using nlohmann::json;

    /// The parser recurses into nested arrays: without this limit, two
    /// megabytes of array headers overflow the stack.
    constexpr std::size_t max_depth = 8;

    /// SAX handler that builds no value and stops the parser at the first null,
    /// map, binary or too deeply nested array.
    class depth_check {
    public:
        bool null() { return false; }
        bool boolean(bool) { return true; }
        bool number_integer(json::number_integer_t) { return true; }
        bool number_unsigned(json::number_unsigned_t) { return true; }
        bool number_float(json::number_float_t, const std::string&)
        {
            return true;
        }
        bool string(std::string&) { return true; }
        bool binary(json::binary_t&) { return false; }
        bool start_object(std::size_t) { return false; }
        bool key(std::string&) { return false; }
        bool end_object() { return false; }
        bool start_array(std::size_t) { return ++this->depth <= max_depth; }
        bool end_array()
        {
            --this->depth;
            return true;
        }
        bool parse_error(std::size_t, const std::string&, const std::exception&)
        {
            return false;
        }

    private:
        std::size_t depth = 0;
    };

    template <class Content>
    message decode_as(array_reader& reader)
    {
        return reader.read_nested([](array_reader& fields) {
            return message(decode_fields(fields, type_of_message<Content>()));
        });
    }

    template <std::size_t... Index>
    message decode_type(std::size_t type, array_reader& reader,
        std::index_sequence<Index...> /*all*/)
    {
        using decoder = message (*)(array_reader&);
        constexpr decoder decoders[]
            = { decode_as<std::variant_alternative_t<Index, message>>... };
        return decoders[type](reader);
    }

    std::optional<message> decode_checked(
        std::span<const std::uint8_t> bytes, std::string& cause)
    {
        constexpr std::size_t types = std::variant_size_v<message>;
        depth_check check;
        if (bytes.size() > max_message_size
            || !json::sax_parse(bytes.begin(), bytes.end(), &check,
                json::input_format_t::msgpack))
        {
            cause = "is too long or not an array of valid elements";
            return std::nullopt;
        }
        const json parsed
            = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
        array_reader reader(parsed);
        if (reader.read_number() != protocol_version)
        {
            reader.fail("is not the protocol version of this daemon");
        }
        const auto type = reader.read_number(types - 1);
        message decoded
            = decode_type(type, reader, std::make_index_sequence<types>());
        if (!reader.is_complete())
        {
            cause = reader.get_cause();
            return std::nullopt;
        }
        return decoded;
    }

} // namespace

encoded_message encode_message(const message& content)
{
    return json::to_msgpack(json::array({ protocol_version, content.index(),
        std::visit(
            [](const auto& each) { return encode_fields(each); }, content) }));
}

std::optional<message> decode_message(std::span<const std::uint8_t> bytes,
    std::string_view peer, core::error& reason)
{
    std::string cause;
    std::optional<message> decoded;
    try
    {
        decoded = decode_checked(bytes, cause);
    }
    catch (const std::exception& thrown)
    {
        // Allocation failures, and exceptions that the parser throws although
        // its settings forbid them, must not reach the transport.
        cause = thrown.what();
    }
    if (!decoded)
    {
        reason = core::error::make("decode message", std::string(peer), cause);
    }
    return decoded;
}

} // namespace pollenward::fleet
