/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/Platform/HostFixture.h>

namespace Test {

/// Several hosts and the users' platform on one event loop. Callers choose the host.
class HostGroup {
public:
    using ChangeSettings = std::function<void(Serving::HostSettings&)>;

    explicit HostGroup(std::vector<std::string> const& domains, ChangeSettings change_settings = {})
        : change_settings(std::move(change_settings))
    {
        this->platform.put_configuration(7);
        for (auto const& domain : domains)
            this->members.push_back(std::make_unique<Member>(*this, domain));
    }

    /// Starts all hosts and waits until each is ready and has received messages from the others.
    void start()
    {
        for (auto& member : this->members)
            member->start(*this);
        this->await_ready();
    }

    /// Terminates every host process without notice and starts a new one without any state.
    void replace_all()
    {
        for (auto& member : this->members)
            member->host.reset();
        this->start();
    }

    /// Terminates one host process without notice and starts a new one without any state.
    void replace(size_t number)
    {
        this->members.at(number)->host.reset();
        this->members.at(number)->start(*this);
        this->await_ready();
    }

    /// Makes a host connect to a backend server through a forwarder. To be called before start().
    void forward_server(size_t number, std::string const& server, Http::tcp::endpoint const& forwarder)
    {
        this->members.at(number)->settings.server_forwarders[Address(server)] = Address(text_of(forwarder));
    }

    [[nodiscard]] bool is_ready(size_t number) { return this->is_ready(*this->members.at(number)); }

    [[nodiscard]] Http::tcp::endpoint const& callers_endpoint(size_t number) const
    {
        return this->members.at(number)->callers;
    }

    [[nodiscard]] size_t size() const { return this->members.size(); }

    std::shared_ptr<Call> call(size_t number, Http::Request request)
    {
        return this->platform.send(std::move(request), this->members.at(number)->callers);
    }
    std::shared_ptr<Call> finished_call(size_t number, Http::Request request)
    {
        auto sent = this->call(number, std::move(request));
        this->platform.until([&] { return sent->is_over(); });
        return sent;
    }

    void run_for(Duration span)
    {
        this->platform.loop.restart();
        this->platform.loop.run_for(span);
    }

    [[nodiscard]] std::string log_of(size_t number)
    {
        this->members.at(number)->log.flush();
        return this->members.at(number)->log_text;
    }

    HostFixture platform;

private:
    struct Member {
        Member(HostGroup& group, std::string const& domain)
            : log([this](std::string_view text) {
                this->log_text += text;
                return text.size();
            })
        {
            this->settings = group.platform.settings();
            this->settings.host = MemberId("host-" + std::to_string(group.members.size() + 1));
            this->settings.failure_domain = FailureDomainId(domain);
            this->settings.callers_listen = Address(text_of(this->callers));
            this->settings.readiness_listen = Address(text_of(this->readiness));
            this->settings.metrics_listen = Address(text_of(free_endpoint()));
            this->settings.peer_listen = Address(text_of(free_endpoint()));
            this->settings.peer_address = this->settings.peer_listen;
            if (group.change_settings)
                group.change_settings(this->settings);
        }

        void start(HostGroup& group)
        {
            this->host.emplace(group.platform.loop, this->settings, this->log,
                [this]() -> Result<Serving::HostSettings> { return this->settings; });
            this->host->start();
        }

        Http::tcp::endpoint callers { free_endpoint() };
        Http::tcp::endpoint readiness { free_endpoint() };
        Serving::HostSettings settings;
        std::string log_text;
        Core::StructuredLog log;
        std::optional<Serving::Host<Adapter::UsersPlatform>> host;
    };

    [[nodiscard]] bool is_ready(Member const& member)
    {
        auto call = this->platform.send(Http::Request(Http::Verb::get, "/ready", 11), member.readiness);
        this->platform.until([&] { return call->is_over(); });
        return call->status == 200;
    }

    void await_ready()
    {
        for (auto& member : this->members)
            this->platform.until([&] { return this->is_ready(*member); });
        // Long enough for hosts of all domains to receive messages from the representatives of the others.
        this->run_for(1200ms);
    }

    ChangeSettings change_settings;
    std::vector<std::unique_ptr<Member>> members;
};

}
