/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/MisbehavingCallers/HostProcess.h>
#include <sstream>

namespace Test {

inline constexpr size_t large_piece_bytes = 1 << 16;

/// A body of `size` bytes in chunks of `chunk_bytes`, without the last chunk.
class ChunkedBody {
public:
    ChunkedBody(size_t size, size_t chunk_bytes)
        : size(size)
        , chunk_bytes(chunk_bytes)
        , chunks_in_piece(std::max<size_t>(1, large_piece_bytes / chunk_bytes))
        , piece(std::make_shared<std::string const>(this->chunks(this->chunks_in_piece)))
    {
    }

    [[nodiscard]] static std::string chunk_of(size_t bytes)
    {
        std::ostringstream head;
        head << std::hex << bytes << "\r\n";
        return head.str() + std::string(bytes, 'x') + "\r\n";
    }

    /// A request with this body that ends without `missing` bytes of its last chunk.
    [[nodiscard]] CallerBytes bytes_of(std::string const& attempt, size_t missing) const
    {
        size_t const bytes_in_piece = this->chunks_in_piece * this->chunk_bytes;
        // The last piece is cut, so it is not among those that are repeated.
        size_t const pieces = (this->size - 1) / bytes_in_piece;
        auto end = this->chunks((this->size - pieces * bytes_in_piece) / this->chunk_bytes);
        end.resize(end.size() - missing);
        return { HostProcess::chunked_head_of(attempt), this->piece, pieces, std::move(end) };
    }

private:
    [[nodiscard]] std::string chunks(size_t count) const
    {
        std::string text;
        for (size_t i = 0; i < count; ++i)
            text += chunk_of(this->chunk_bytes);
        return text;
    }

    size_t size;
    size_t chunk_bytes;
    size_t chunks_in_piece;
    /// Made once, since all callers of a crowd send the same.
    std::shared_ptr<std::string const> piece;
};

/// A request whose body has an announced length, of which some is sent.
inline CallerBytes bytes_with_length(std::string const& attempt, size_t announced, size_t sent)
{
    static auto const piece = std::make_shared<std::string const>(large_piece_bytes, 'x');
    return { HostProcess::head_of(attempt, "Content-Length: " + std::to_string(announced)), piece,
        sent / large_piece_bytes, std::string(sent % large_piece_bytes, 'x') };
}

}
