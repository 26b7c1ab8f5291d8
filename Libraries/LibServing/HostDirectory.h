/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibPlatform/ChangeFollower.h>

namespace Serving {

/// Where entry hosts find each other: each writes its own address into a table of the platform once, at its start, and
/// reads those of the others. After that they tell each other, so the platform is not asked again.
template<typename Store>
class HostDirectory {
public:
    static constexpr auto table = "lilactiller_hosts";

    HostDirectory(boost::asio::io_context& loop, Store& store, MemberId host, Address own_address,
        std::function<void(Address const&)> on_host)
        : store(store)
        , host(std::move(host))
        , own_address(std::move(own_address))
        , on_host(std::move(on_host))
        , timer(loop)
    {
    }

    void start()
    {
        this->store.put(
            table, this->host.value(), this->own_address.value(), answer_patience, [this](Result<void> done) {
                if (!done)
                    return this->again([this] { this->start(); });
                this->read();
            });
    }

private:
    static constexpr Duration answer_patience = 2s;
    /// A host that cannot reach the platform at its start decides without the others until it does.
    static constexpr Duration retry_delay = 1s;

    void read()
    {
        this->store.list(table, {}, answer_patience, [this](Result<Platform::RowPage> page) {
            if (!page)
                return this->again([this] { this->read(); });
            for (auto const& row : page.value().rows)
                this->on_host(Address(row.value));
        });
    }

    template<typename Again>
    void again(Again action)
    {
        this->timer.expires_after(retry_delay);
        this->timer.async_wait([action](boost::system::error_code error) {
            if (!error)
                action();
        });
    }

    Store& store;
    MemberId host;
    Address own_address;
    std::function<void(Address const&)> on_host;
    boost::asio::steady_timer timer;
};

}
