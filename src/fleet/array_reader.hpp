#pragma once

// Only codec files include this header.

#include "core/endpoint.hpp"
#include "core/runtime_clock.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pollenward::fleet {

/// Also the bound of the texts in upstream::listed_worker.
inline constexpr std::size_t max_id_size = 256;
inline constexpr std::size_t max_list_size = 20'000;

/// Reads the elements of an encoded array one after the other. After the first
/// element of a wrong type or size all further reads return default values;
/// is_complete() returns whether every element was read and valid.
class array_reader {
public:
    explicit array_reader(const nlohmann::json& source)
        : source(&source)
    {
        if (!source.is_array())
        {
            this->fail("is not an array");
        }
    }

    bool is_complete()
    {
        if (this->cause.empty() && this->position != this->source->size())
        {
            this->fail("has too many elements");
        }
        return this->cause.empty();
    }

    /// Position and kind of the first error; empty if there is none.
    const std::string& get_cause() const { return this->cause; }

    void fail(const std::string& what)
    {
        if (this->cause.empty())
        {
            this->cause
                = "element " + std::to_string(this->position) + " " + what;
        }
    }

    std::string read_string(std::size_t max_size = max_id_size)
    {
        const auto* element = this->next();
        const auto* text = element == nullptr
            ? nullptr
            : element->get_ptr<const std::string*>();
        if (text == nullptr || text->size() > max_size)
        {
            this->fail("is not a string of valid length");
            return {};
        }
        return *text;
    }

    std::uint64_t read_number(std::uint64_t max = UINT64_MAX)
    {
        const auto* element = this->next();
        if (element == nullptr || !element->is_number_unsigned()
            || element->get<std::uint64_t>() > max)
        {
            this->fail("is not a number in range");
            return 0;
        }
        return element->get<std::uint64_t>();
    }

    double read_real()
    {
        const auto* element = this->next();
        if (element == nullptr || !element->is_number()
            || !std::isfinite(element->get<double>()))
        {
            this->fail("is not a finite number");
            return 0;
        }
        return element->get<double>();
    }

    bool read_bool()
    {
        const auto* element = this->next();
        if (element == nullptr || !element->is_boolean())
        {
            this->fail("is not a boolean");
            return false;
        }
        return element->get<bool>();
    }

    template <class Enum>
    Enum read_enum(Enum last)
    {
        return static_cast<Enum>(
            this->read_number(static_cast<std::uint64_t>(last)));
    }

    template <class Id>
    Id read_id()
    {
        return Id(this->read_string());
    }

    template <class Quantity>
    Quantity read_quantity()
    {
        return Quantity(this->read_number());
    }

    core::milliseconds read_milliseconds()
    {
        // A year: keeps sums of time points and durations from overflowing.
        constexpr std::uint64_t max_ms = 365ULL * 24 * 3600 * 1000;
        return core::milliseconds(this->read_number(max_ms));
    }

    core::endpoint read_endpoint()
    {
        core::error reason;
        const auto parsed = core::endpoint::create(this->read_string(), reason);
        if (!parsed)
        {
            this->fail("is not an endpoint");
        }
        return parsed.value_or(core::endpoint());
    }

    /// Reads a nested array with `read(array_reader&)`.
    template <class Read>
    auto read_nested(Read read)
    {
        static const nlohmann::json empty = nlohmann::json::array();
        const auto* element = this->next();
        array_reader inner(element == nullptr ? empty : *element);
        auto value = read(inner);
        if (!inner.is_complete())
        {
            this->fail("/ " + inner.get_cause());
        }
        return value;
    }

    /// Reads a nested array whose elements are arrays that `read` decodes.
    template <class Read>
    auto read_list(Read read, std::size_t max_size = max_list_size)
    {
        return this->read_nested([&](array_reader& inner) {
            std::vector<decltype(read(inner))> values;
            if (inner.remaining() > max_size)
            {
                inner.fail("has too many elements");
            }
            while (inner.get_cause().empty() && inner.remaining() != 0)
            {
                values.push_back(inner.read_nested(read));
            }
            return values;
        });
    }

    std::size_t remaining() const
    {
        return this->source->is_array() ? this->source->size() - this->position
                                        : 0;
    }

private:
    const nlohmann::json* next()
    {
        if (!this->cause.empty())
        {
            return nullptr;
        }
        if (this->position >= this->source->size())
        {
            this->fail("is missing");
            return nullptr;
        }
        return &(*this->source)[this->position++];
    }

    const nlohmann::json* source;
    std::size_t position = 0;
    std::string cause;
};

} // namespace pollenward::fleet
