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

/// What hosts of a model tell each other in virtual time: each word comes late to every other host, or never.
class LossyNetwork {
public:
    static constexpr i64 longest_delay_milliseconds = 300;

    /// What is on its way to one host.
    class Inbox {
    public:
        /// Calls `take` with each message that has come by now.
        template<typename Take>
        void deliver(Instant now, Take take)
        {
            for (auto const& word : this->words) {
                if (word.comes_at <= now)
                    take(*word.message);
            }
            std::erase_if(this->words, [now](Word const& word) { return word.comes_at <= now; });
        }
        void clear() { this->words.clear(); }

    private:
        friend class LossyNetwork;
        struct Word {
            Instant comes_at;
            std::shared_ptr<wire::HostUse const> message;
        };
        std::vector<Word> words;
    };

    LossyNetwork(double lost_share, u32 seed)
        : is_lost(lost_share)
        , random(seed)
    {
    }

    /// From one of the hosts to all others, each of which has an `inbox`.
    template<typename Hosts, typename Host>
    void broadcast(Hosts& hosts, Host const& from, wire::HostUse const& message, Instant now)
    {
        auto const shared = std::make_shared<wire::HostUse const>(message);
        std::uniform_int_distribution<i64> delay(1, longest_delay_milliseconds);
        for (auto& host : hosts) {
            if (&host != &from && !this->is_lost(this->random))
                host.inbox.words.push_back({ now + std::chrono::milliseconds(delay(this->random)), shared });
        }
    }

private:
    std::bernoulli_distribution is_lost;
    std::mt19937 random;
};

}
