#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <utility>

namespace pollenward::hostile {

/// What a hostile caller sends: a header, a piece that it repeats, and last
/// bytes.
class hostile_request {
public:
    /// `framing` follows the fields that the platform asks for.
    static hostile_request make(std::string path, std::string framing)
    {
        hostile_request made;
        made.path = std::move(path);
        made.framing = std::move(framing);
        return made;
    }

    hostile_request with_pieces(std::string repeated, std::size_t times) const
    {
        hostile_request made = *this;
        made.piece = std::move(repeated);
        made.piece_count = times;
        return made;
    }

    hostile_request with_last(std::string bytes) const
    {
        hostile_request made = *this;
        made.last = std::move(bytes);
        return made;
    }

    /// The first bytes of the caller with this number.
    std::string get_first(std::size_t caller) const
    {
        return "POST " + this->path
            + " HTTP/1.1\r\nHost: hostile.example\r\nRequest-Id: hostile-"
            + std::to_string(caller) + "\r\nRequest-Deadline: 60000\r\n"
            + this->framing;
    }
    const std::string& get_piece() const { return this->piece; }
    std::size_t get_piece_count() const { return this->piece_count; }
    const std::string& get_last() const { return this->last; }

    auto operator<=>(const hostile_request&) const = default;

private:
    std::string path;
    std::string framing;
    std::string piece;
    std::size_t piece_count = 0;
    std::string last;
};

} // namespace pollenward::hostile
