/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <LibWire/Messages.h>
#include <memory>
#include <random>
#include <vector>

namespace Test {

/// The network between simulated hosts in virtual time. It delays each message to each other host, or drops it.
class LossyNetwork {
public:
    static constexpr i64 max_delay_milliseconds = 300;

    /// The messages in transit to one host.
    class Inbox {
    public:
        /// Calls `handle` with each message that has arrived by now.
        template<typename Handle>
        void deliver(Instant now, Handle handle)
        {
            for (auto const& message : this->messages) {
                if (message.arrives_at <= now)
                    handle(*message.message);
            }
            std::erase_if(this->messages, [now](Message const& message) { return message.arrives_at <= now; });
        }
        void clear() { this->messages.clear(); }

    private:
        friend class LossyNetwork;
        struct Message {
            Instant arrives_at;
            std::shared_ptr<wire::HostUse const> message;
        };
        std::vector<Message> messages;
    };

    LossyNetwork(double loss_rate, u32 seed)
        : is_lost(loss_rate)
        , random(seed)
    {
    }

    /// Sends a message from one of the hosts to all others. Each host has an `inbox`.
    template<typename Hosts, typename Host>
    void broadcast(Hosts& hosts, Host const& from, wire::HostUse const& message, Instant now)
    {
        auto const shared = std::make_shared<wire::HostUse const>(message);
        std::uniform_int_distribution<i64> delay(1, max_delay_milliseconds);
        for (auto& host : hosts) {
            if (&host != &from && !this->is_lost(this->random))
                host.inbox.messages.push_back({ now + std::chrono::milliseconds(delay(this->random)), shared });
        }
    }

private:
    std::bernoulli_distribution is_lost;
    std::mt19937 random;
};

}
