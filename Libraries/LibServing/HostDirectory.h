/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <AK/Timer.h>
#include <LibPlatform/ChangeFollower.h>
#include <LibServing/Reachability.h>
#include <LibWire/Messages.h>

namespace Serving {

/// Discovers the other entry hosts. At its start, each host writes its address into a table of the platform and reads
/// those of the others. Later changes are exchanged between the hosts, so the platform is not queried again.
template<typename Store>
class HostDirectory {
public:
    static constexpr auto table = "lilactiller_hosts";

    using OnHosts = std::function<void(std::vector<KnownHost>)>;

    HostDirectory(boost::asio::io_context& loop, Store& store, MemberId host, Address const& own_address,
        FailureDomainId const& own_domain, OnHosts on_hosts)
        : store(store)
        , host(std::move(host))
        , on_hosts(std::move(on_hosts))
        , timer(loop)
    {
        this->own_row.set_address(own_address.value());
        this->own_row.set_failure_domain(own_domain.value());
    }

    void start()
    {
        this->store.put(
            table, this->host.value(), this->own_row.SerializeAsString(), response_timeout, [this](Result<void> done) {
                if (!done)
                    return this->retry_later([this] { this->start(); });
                this->read_from({});
            });
    }

private:
    static constexpr Duration response_timeout = 2s;
    /// A host that can't reach the platform at its start retries at this interval and until then decides alone.
    static constexpr Duration retry_delay = 1s;

    /// Reads the table page by page. `on_hosts` gets the complete table, since the number of hosts that share the
    /// fleet's limits is derived from it.
    void read_from(std::string const& first_key)
    {
        if (first_key.empty())
            this->hosts.clear();
        this->store.list(table, first_key, response_timeout, [this](Result<Platform::RowPage> page) {
            if (!page)
                return this->retry_later([this] { this->read_from({}); });
            for (auto const& row : page.value().rows)
                this->add_host(row);
            if (page.value().more && !page.value().rows.empty())
                return this->read_from(Platform::key_after(page.value().rows.back()));
            this->on_hosts(std::move(this->hosts));
        });
    }

    void add_host(Platform::Row const& row)
    {
        wire::HostAddress host;
        // A row that can't be parsed belongs to a host of a newer version, which will connect on its own.
        if (host.ParseFromString(row.value))
            this->hosts.push_back({ Address(host.address()), FailureDomainId(host.failure_domain()) });
    }

    template<typename Action>
    void retry_later(Action action)
    {
        this->timer.expires_after(retry_delay);
        this->timer.async_wait([action](boost::system::error_code error) {
            if (!error)
                action();
        });
    }

    Store& store;
    MemberId host;
    wire::HostAddress own_row;
    OnHosts on_hosts;
    AK::Timer timer;
    std::vector<KnownHost> hosts;
};

}
