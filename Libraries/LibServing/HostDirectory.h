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
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace Serving {

/// The platform's table of hosts. Each failure domain has a part of its own, because the platform carries out the
/// writes to one part one after another.
template<typename T>
concept HostTable = requires(T& store, std::string const& text, Duration timeout,
    std::function<void(Result<void>)> on_done, std::function<void(Result<Platform::RowPage>)> on_page,
    std::function<void(Result<std::vector<std::string>>)> on_parts)
{
    store.put_in_part(text, text, text, text, timeout, on_done);
    store.list_part(text, text, text, timeout, on_page);
    store.list_parts(text, timeout, on_parts);
};

/// Discovers the other entry hosts. At its start, each host writes its address into a table of the platform and reads
/// those of its own failure domain. Few hosts also read those of the other domains, and hand them to the rest. Later
/// changes are exchanged between the hosts, so the platform is not queried again.
template<HostTable Store>
class HostDirectory {
public:
    static constexpr auto table = "lilactiller_hosts";

    using OnHosts = std::function<void(std::vector<KnownHost>)>;
    struct Observer {
        /// Passes the hosts of this host's domain.
        OnHosts local_hosts;
        /// Passes the hosts of all domains.
        OnHosts all_hosts;
        /// Called at the first failed call to the platform after a success, and at the first success after a failure.
        std::function<void(Error const&)> unavailable { [](Error const&) {} };
        std::function<void()> available { [] {} };
    };

    HostDirectory(boost::asio::io_context& loop, Store& store, MemberId host, KnownHost const& own, Observer observer)
        : store(store)
        , host(std::move(host))
        , own_domain(own.domain)
        , observer(std::move(observer))
        , timer(loop)
        , random(static_cast<u32>(std::hash<std::string> {}(own.address.value())))
    {
        this->own_row.set_address(own.address.value());
        this->own_row.set_failure_domain(own.domain.value());
        this->own_row.set_strength(own.strength);
    }

    /// Registers this host, and reads the hosts of its domain.
    void start()
    {
        this->store.put_in_part(table, this->own_domain.value(), this->host.value(), this->own_row.SerializeAsString(),
            response_timeout, [this](Result<void> done) {
                if (!done)
                    return this->retry_later(done.error(), [this] { this->start(); });
                this->record_success();
                this->read_own_domain();
            });
    }

    /// Reads the hosts of all domains. To be called after the hosts of the own domain have been passed.
    void read_all()
    {
        if (std::exchange(this->reads_all, true))
            return;
        this->read_parts();
    }

private:
    static constexpr Duration response_timeout = 2s;
    /// A host that can't reach the platform at its start retries after a time between this and twice as long, and until
    /// then decides alone.
    static constexpr Duration retry_delay = 500ms;

    void read_own_domain()
    {
        this->parts = { this->own_domain.value() };
        this->hosts.clear();
        this->read_from({}, [this] { this->observer.local_hosts(std::move(this->hosts)); });
    }

    void read_parts()
    {
        this->store.list_parts(table, response_timeout, [this](Result<std::vector<std::string>> listed) {
            if (!listed)
                return this->retry_later(listed.error(), [this] { this->read_parts(); });
            this->record_success();
            this->parts = std::move(listed.value());
            this->hosts.clear();
            this->read_from({}, [this] { this->observer.all_hosts(std::move(this->hosts)); });
        });
    }

    /// Reads the last of `parts` page by page, and then the others.
    void read_from(std::string const& first_key, std::function<void()> const& on_complete)
    {
        if (this->parts.empty())
            return on_complete();
        this->store.list_part(table, this->parts.back(), first_key, response_timeout,
            [this, first_key, on_complete](Result<Platform::RowPage> page) {
                if (!page)
                    return this->retry_later(
                        page.error(), [this, first_key, on_complete] { this->read_from(first_key, on_complete); });
                this->record_success();
                for (auto const& row : page.value().rows)
                    this->add_host(row);
                if (page.value().more && !page.value().rows.empty())
                    return this->read_from(Platform::key_after(page.value().rows.back()), on_complete);
                this->parts.pop_back();
                this->read_from({}, on_complete);
            });
    }

    void add_host(Platform::Row const& row)
    {
        wire::HostAddress read;
        // A row that can't be parsed belongs to a host of a newer version, which will connect on its own.
        if (read.ParseFromString(row.value))
            this->hosts.push_back({ Address(read.address()), FailureDomainId(read.failure_domain()), read.strength() });
    }

    void record_success()
    {
        if (!std::exchange(this->is_reachable, true))
            this->observer.available();
    }

    /// Hosts that were turned away together do not return together.
    template<typename Action>
    void retry_later(Error const& error, Action action)
    {
        if (std::exchange(this->is_reachable, false))
            this->observer.unavailable(error);
        boost::random::uniform_real_distribution<double> factor(1, 2);
        this->timer.expires_after(AK::from_seconds(AK::to_seconds(retry_delay) * factor(this->random)));
        this->timer.async_wait([action](boost::system::error_code error) {
            if (!error)
                action();
        });
    }

    Store& store;
    MemberId host;
    FailureDomainId own_domain;
    wire::HostAddress own_row;
    Observer observer;
    AK::Timer timer;
    boost::random::mt19937 random;
    std::vector<std::string> parts;
    std::vector<KnownHost> hosts;
    bool reads_all { false };
    bool is_reachable { true };
};

}
