/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <boost/beast/http/parser.hpp>

namespace Http {

/// Parses a request. `Fields` throws for a field that does not fit into it, so such fields are kept apart.
class RequestParser : public beast::http::request_parser<beast::http::string_body> {
public:
    /// Moves the long fields out. To be called once the head has been parsed.
    [[nodiscard]] LongFields release_long_fields() { return std::exchange(this->long_fields, {}); }

private:
    void on_field_impl(Name known, beast::string_view name, beast::string_view value, beast::error_code& error) override
    {
        error = {};
        if (std::max(name.size(), value.size()) <= max_field_bytes)
            return this->get().insert(known, name, value);
        this->long_fields.push_back({ std::string(name), std::string(value) });
    }

    LongFields long_fields;
};

}
